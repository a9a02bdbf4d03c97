/**
 * After the open connections to the store went silent, machines keep an upstream that has left for too long.
 *
 * The silence is a disruption of the machines' connections only: the store itself works all the while, and so do new
 * connections to it. The upstreams leave as planned, without reporting that they drain.
 */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { openConnection } from '../support/client.mjs'
import { hasTrouble, route, runScript, sleep } from '../support/fleet.mjs'
import { openRelay } from '../support/relay.mjs'
import { answerWhole, startUpstream } from '../support/upstream.mjs'

const ZONES = ['riga-a', 'riga-a', 'riga-b', 'riga-b', 'daugavpils', 'daugavpils']
/** Eight upstreams per zone, of which one leaves; the limit of `scale_in` is a share of 0.13. */
const UPSTREAMS = 24
const LEAVING = 3
const CALM_MS = 4000
/** Time from the silence to the removal of the entries. */
const REMOVAL_MS = 300
/** stable-s: the machines are in touch again this long after the silence. */
const STABLE_MS = 3000
const DRAIN_MS = 2000
const OBSERVED_MS = 8000
const REQUEST_INTERVAL_MS = 40

const folder = dirname(fileURLToPath(import.meta.url))
const relays = new Map()
const storeEndpointOf = (vm, endpoint) => relays.get(vm.name)?.endpoint ?? endpoint

await runScript(folder, { zones: ZONES, services: ['search-svc'], routes: [route('r-search', '/search/')], storeEndpointOf }, async fleet => {
  const { record, vms, store } = fleet
  for (const [index, vm] of vms.entries()) relays.set(vm.name, await openRelay(`127.77.3.${index + 1}`, store.endpoint))
  const upstreams = []
  for (let index = 0; index < UPSTREAMS; index++) {
    upstreams.push(await startUpstream(fleet, { id: `i-${index}a7f3`, address: `127.77.2.${index + 1}`, service: 'search-svc', zone: ZONES[index % 3 * 2], slots: 8 },
      exchange => answerWhole(exchange, { workMs: 20, bytes: 2000 })))
  }
  await fleet.startAll()

  const requests = new Map()
  const end = new AbortController()
  const client = async vm => {
    const { send, state } = await openConnection(fleet.endpoint(vm, 'frontend'), fleet)
    while (!end.signal.aborted && state.closedAt === undefined) {
      const batch = ['/search/one', '/search/two'].map(path => send(path))
      for (const request of batch) requests.set(request.attemptId, { request, vm })
      await Promise.all(batch.map(({ done }) => done))
      await sleep(REQUEST_INTERVAL_MS)
    }
  }
  const clients = vms.map(client)
  await sleep(CALM_MS)
  const silencedAt = record.now()
  if (hasTrouble) for (const vm of vms) record.write(`${relays.get(vm.name).silence()} open connections of ${vm.name} to the store go silent`)
  await sleep(REMOVAL_MS)
  const leaving = upstreams.slice(0, LEAVING)
  // They serve on until the script ends.
  await Promise.all(leaving.map(({ id }) => store.write('servers', id, undefined)))
  const acknowledgedAt = record.now()
  record.write(`the store acknowledges that the entries of ${leaving.map(({ id }) => id).join(' ')} are removed`)
  await sleep(OBSERVED_MS)
  end.abort()
  await Promise.all(clients)

  const inTouchAt = hasTrouble ? silencedAt + STABLE_MS : 0
  const arrivals = leaving.flatMap(({ id, runs }) => runs.map(({ attemptId, at }) => ({ attemptId, at, id, ...requests.get(attemptId) })))
  const late = arrivals.filter(({ request, at }) => at > acknowledgedAt + DRAIN_MS && request.sentAt > inTouchAt)
  for (const { attemptId, at, id, vm } of late) {
    record.write(`DRAIN ${attemptId}: ${vm.name}, in touch since ${Math.round(inTouchAt)} ms, sent it to ${id}, which it reached ${Math.round(at - acknowledgedAt)} ms after the acknowledgement`)
  }
  for (const { name } of vms) {
    const lastAt = Math.max(0, ...arrivals.filter(({ vm, at }) => vm.name === name && at > acknowledgedAt).map(({ at }) => Math.round(at - acknowledgedAt)))
    const text = `${name}: last request to an upstream that had left ${lastAt} ms after the acknowledgement`
    record.write(text)
    console.log(text)
  }
  console.log(`requests that reached such an upstream over ${DRAIN_MS} ms after it, by machines in touch: ${late.length}`)
  return late.length > 0
})
