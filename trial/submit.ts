import { setTimeout as sleep } from 'node:timers/promises'
import type { RunningFleet } from './fleet.js'
import type { Layout } from './layout.js'

const RETRY_MS = 200
const RETRY_LIMIT_MS = 8000

/** A fleet with access to the operator API of its VMs. */
export interface OperatedFleet extends Pick<RunningFleet, 'operators'> {
  readonly layout: Pick<Layout, 'vms'>
}

/**
 * Submits a release note through the first VM. On a busy machine, the links of a new fleet may take
 * longer to open than the 5 s for which a VM waits for them, and the note is refused with
 * `fleet-split`. The submission is then retried, which is safe because the note keeps its id.
 *
 * @returns the revision created by the note
 * @throws Error if the note is refused for another reason, or the time limit passes
 */
export async function submitNote (fleet: OperatedFleet, note: object): Promise<number> {
  const [vm] = fleet.layout.vms
  if (vm === undefined) throw new Error('the layout contains no VM')
  const startedAt = performance.now()
  for (;;) {
    const response = await fleet.operators(vm, 'POST', '/v1/notes', note)
    if (response.isOk()) return (response.value as { revision: number }).revision
    if (response.error.kind !== 'fleet-split' || performance.now() - startedAt > RETRY_LIMIT_MS) {
      throw new Error(`the note was refused: ${JSON.stringify(response.error.body)}`)
    }
    await sleep(RETRY_MS)
  }
}
