/** Runs a case: writes its record, and exits with 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
import { writeFileSync } from 'node:fs'
import { join } from 'node:path'

const LIMIT_MS = 115_000

/** Whether the disruption takes place. */
export const hasTrouble = process.env.TROUBLE !== '0'

/**
 * Runs a case in the folder of its `run.sh`.
 *
 * @param play gets `note`, which adds a line to the record, and `cleanUp`, which registers a function to call at the end;
 *   returns whether the rule was broken
 */
export async function runCase (folder, play) {
  const startedAt = performance.now()
  const lines = []
  const cleanUps = []
  const note = text => lines.push(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`)
  let exitCode = 2
  const limit = new Promise((resolve, reject) => setTimeout(() => reject(new Error('the case took too long')), LIMIT_MS).unref())
  // An error of a stand-in is no verdict on the rule.
  const broken = new Promise((resolve, reject) => {
    process.on('uncaughtException', reject).on('unhandledRejection', reject)
    for (const signal of ['SIGINT', 'SIGTERM']) process.on(signal, () => reject(new Error(`the case got ${signal}`)))
  })
  note(`disruption: ${hasTrouble ? 'yes' : 'no'}`)
  try {
    const isBroken = await Promise.race([play({ note, cleanUp: action => cleanUps.push(action) }), limit, broken])
    note(isBroken ? 'RULE BROKEN' : 'the rule held')
    exitCode = isBroken ? 1 : 0
  } catch (error) {
    note(`the case could not run: ${error.stack}`)
  }
  for (const action of cleanUps.reverse()) await action()
  writeFileSync(join(folder, 'record.txt'), `${lines.join('\n')}\n`)
  console.log(lines.at(-1))
  process.exit(exitCode)
}
