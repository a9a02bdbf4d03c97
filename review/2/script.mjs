/**
 * A planned stop cuts off requests that were accepted on connections with pipelined requests.
 *
 * Clients pipeline safe requests on kept connections, and one machine gets SIGTERM.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { openConnection } from '../support/client.mjs'
import { hasTrouble, route, runScript, sleep } from '../support/fleet.mjs'
import { answerWhole, startUpstream } from '../support/upstream.mjs'

const UPSTREAMS = 8
const CONNECTIONS = 6
const ANSWER_BYTES = 5000
const WORK_MS = 450
/** Each client sends the next request after this time, before the answer to the previous one. */
const REQUEST_INTERVAL_MS = 350
const CALM_MS = 5000
const GRACE_MS = 6000
/** The rule: a request that was sent later than this after the SIGTERM counts, however long its upstream works. */
const EXCUSED_UNTIL_MS = 3000

const folder = dirname(fileURLToPath(import.meta.url))
await runScript(folder, { zones: ['riga-a', 'riga-a', 'riga-a'], services: ['search-svc'], routes: [route('r-search', '/search/')] }, async fleet => {
  const { record, vms } = fleet
  const upstreams = []
  for (let index = 0; index < UPSTREAMS; index++) {
    upstreams.push(await startUpstream(fleet, { id: `i-${index}a7f3`, address: `127.77.2.${index + 1}`, service: 'search-svc', zone: 'riga-a' },
      exchange => answerWhole(exchange, { workMs: WORK_MS, bytes: ANSWER_BYTES })))
  }
  await fleet.startAll()
  await sleep(1000)
  const [endpoint] = await fleet.addresses(vms[0])
  const stopped = vms.find(vm => fleet.endpoint(vm, 'frontend') === endpoint)
  record.write(`clients use ${endpoint}, ${stopped.name}`)

  const requests = []
  const end = new AbortController()
  const client = async () => {
    const { send, state } = await openConnection(endpoint, fleet)
    // A client sends nothing more once an answer announces the close of the connection.
    while (!end.signal.aborted && state.closedAt === undefined && state.endedAt === undefined && !state.isClosing) {
      requests.push(send('/search/lookup'))
      await sleep(REQUEST_INTERVAL_MS)
    }
    record.write(`client sends no more on its connection to ${endpoint}`)
    await Promise.all(state.requests.map(({ done }) => done))
  }
  const clients = Array.from({ length: CONNECTIONS }, async (_, index) => {
    await sleep(index * 50)
    return client()
  })
  await sleep(CALM_MS)
  const stoppedAt = record.now()
  if (hasTrouble) {
    record.write(`SIGTERM to ${stopped.name}`)
    stopped.process.kill('SIGTERM')
  }
  await sleep(GRACE_MS)
  const isGone = stopped.exits.length > 0
  record.write(`${stopped.name} ${isGone ? 'has ended' : 'runs'}`)
  end.abort()
  await Promise.race([Promise.all(clients), sleep(3000)])

  const runs = new Map(upstreams.flatMap(upstream => upstream.runs.map(run => [run.attemptId, run])))
  const cut = requests.filter(({ attemptId, answer, connection }) => answer === undefined && connection.closedAt !== undefined && runs.has(attemptId))
  const lost = cut.filter(({ sentAt }) => sentAt > stoppedAt + EXCUSED_UNTIL_MS)
  for (const { attemptId, sentAt, connection } of lost) {
    const run = runs.get(attemptId)
    record.write(`LOST ${attemptId}: sent ${Math.round(sentAt - stoppedAt)} ms after the SIGTERM, run by an upstream from ${Math.round(run.at - stoppedAt)} ms, cut at ${Math.round(connection.closedAt - stoppedAt)} ms`)
  }
  const summary = `${requests.length} requests, ${cut.length} cut after they were passed on, ${lost.length} of them sent over ${EXCUSED_UNTIL_MS} ms after the SIGTERM`
  record.write(summary)
  console.log(summary)
  return lost.length > 0
})
