/**
 * The close of a connection with pipelined requests is not noticed while answers wait behind a slow one.
 *
 * Clients pipeline safe requests, and some clients leave before their deadline.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { openConnection } from '../support/client.mjs'
import { hasTrouble, route, runScript, sleep } from '../support/fleet.mjs'
import { answerWhole, startUpstream } from '../support/upstream.mjs'

const UPSTREAMS = 8
const CLIENTS = 10
/** Limit of `give_up`: a fifth of the clients leave within half of the objective, which is 800 ms. */
const LEAVING_CLIENTS = 2
const LEAVE_AFTER_MS = 300
const TROUBLE_MS = 5500
const CALM_MS = 4000
const ANSWER_BYTES = 20_000
/** Pause of a client before each further request. */
const NEXT_REQUEST_MS = 60
const MORE_REQUESTS = 4
const WORK_MS = { slow: 950, fast: 30 }
/** The rule: half a second after the close, upstreams are at work on no more than a quarter of the requests that would have lasted so long. */
const NOTICE_MS = 500
const ALLOWED_SHARE = 0.25
/** The rule: no more than a few requests reach an upstream later than that. */
const ALLOWED_LATE_ARRIVALS = 5

const folder = dirname(fileURLToPath(import.meta.url))
await runScript(folder, { zones: ['riga-a', 'riga-a', 'riga-a'], services: ['search-svc'], routes: [route('r-search', '/search/')] }, async fleet => {
  const { record, vms } = fleet
  const answer = exchange => answerWhole(exchange, { workMs: exchange.incoming.url.startsWith('/search/slow') ? WORK_MS.slow : WORK_MS.fast, bytes: ANSWER_BYTES })
  const upstreams = []
  for (let index = 0; index < UPSTREAMS; index++) {
    upstreams.push(await startUpstream(fleet, { id: `i-${index}a7f3`, address: `127.77.2.${index + 1}`, service: 'search-svc', zone: 'riga-a' }, answer))
  }
  await fleet.startAll()
  await sleep(1000)
  const endpoints = await fleet.addresses(vms[0])
  record.write(`clients use ${endpoints.join(' ')}`)

  let isTrouble = false
  const end = new AbortController()
  const left = []
  const client = async index => {
    let connection
    while (!end.signal.aborted) {
      connection ??= await openConnection(endpoints[index % endpoints.length], fleet)
      const { send } = connection
      const requests = ['/search/slow', '/search/fast', '/search/fast', '/search/fast'].map(path => send(path))
      for (let count = 0; count < MORE_REQUESTS; count++) {
        await sleep(NEXT_REQUEST_MS)
        requests.push(send('/search/fast'))
      }
      if (isTrouble && index < LEAVING_CLIENTS) {
        await sleep(LEAVE_AFTER_MS - (record.now() - requests[0].sentAt))
        const closedAt = record.now()
        record.write(`client leaves ${connection.endpoint} with ${requests.filter(request => request.answer === undefined).length} requests unanswered`)
        connection.close()
        left.push(...requests.map(request => ({ request, closedAt })))
        connection = undefined
        await sleep(200)
        continue
      }
      await Promise.all(requests.map(({ done }) => done))
      if (connection.state.closedAt !== undefined) connection = undefined
      else await sleep(20)
    }
    connection?.close()
  }
  const clients = Array.from({ length: CLIENTS }, (_, index) => client(index))
  await sleep(CALM_MS)
  isTrouble = hasTrouble
  record.write(isTrouble ? 'clients begin to leave' : 'no client leaves')
  await sleep(TROUBLE_MS)
  isTrouble = false
  await sleep(3000)
  end.abort()
  await Promise.all(clients)

  const runs = upstreams.flatMap(upstream => upstream.runs)
  const runsOf = ({ attemptId }) => runs.filter(run => run.attemptId === attemptId)
  const late = left.filter(({ request, closedAt }) => runsOf(request).some(run => run.at > closedAt + NOTICE_MS))
  const endOf = run => run.endedAt ?? run.brokenOffAt ?? Infinity
  const workMsOf = run => run.path === '/search/slow' ? WORK_MS.slow : WORK_MS.fast
  const wouldLast = closedAt => run => run.at <= closedAt && run.at + workMsOf(run) > closedAt + NOTICE_MS
  const isAtWork = closedAt => run => run.at <= closedAt + NOTICE_MS && endOf(run) > closedAt + NOTICE_MS
  const lasting = left.filter(({ request, closedAt }) => runsOf(request).some(wouldLast(closedAt)))
  const atWork = lasting.filter(({ request, closedAt }) => runsOf(request).some(isAtWork(closedAt)))
  for (const { request } of late) record.write(`LATE ${request.attemptId} reached an upstream over ${NOTICE_MS} ms after its client had left`)
  for (const { request } of atWork) record.write(`AT WORK on ${request.attemptId} ${NOTICE_MS} ms after its client had left`)
  const summary = `requests of clients that left ${left.length}, reached an upstream late ${late.length}, would have lasted ${lasting.length}, still at work ${atWork.length}`
  record.write(summary)
  console.log(summary)
  return late.length > ALLOWED_LATE_ARRIVALS || (lasting.length > 0 && atWork.length / lasting.length > ALLOWED_SHARE)
})
