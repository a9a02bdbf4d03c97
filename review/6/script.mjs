/** A machine under load gets SIGTERM six times; clients send further requests behind the first, one service is full. */
import { dirname } from 'node:path'
import { fileURLToPath } from 'node:url'
import { hasTrouble, runCase } from '../support-2/case.mjs'
import { openConnection } from '../support-2/client.mjs'
import { createFleet, sleep, waitUntil } from '../support-2/fleet.mjs'
import { configuration, route, service, startStore } from '../support-2/store.mjs'
import { startUpstream } from '../support-2/upstream.mjs'

const SEED = 8
const ROUNDS = 6
const CLIENTS = 30
const MAX_BEHIND = 3
const GRACE_MS = 6000
/** Clients use a machine no longer than this after its SIGTERM. */
const USE_AFTER_SIGTERM_MS = 3000
const DEADLINE_MS = 4000
const SERVICES = [
  { name: 'svc-search', prefix: '/search/', slots: 6, ids: ['s-1', 's-2', 's-3'] },
  { name: 'svc-records', prefix: '/records/', slots: 2, ids: ['r-1'] }
]

/** Pseudo-random numbers from 0 to 1. */
function createRandom (seed) {
  let state = seed
  return () => {
    state = (state + 0x6d2b79f5) | 0
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state)
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

await runCase(dirname(fileURLToPath(import.meta.url)), async ({ note, cleanUp }) => {
  const random = createRandom(SEED)
  const store = await startStore()
  cleanUp(store.close)
  const resources = SERVICES.flatMap(({ name, prefix }) => [route(`route-${name}`, { prefix, service: name, 'timeout-s': DEADLINE_MS / 1000 }), service(name)])
  store.put('op', 'config', configuration(1, ...resources))
  const fleet = await createFleet({ store, graceS: GRACE_MS / 1000 })
  cleanUp(fleet.close)
  const upstreams = []
  const workMs = () => random() < 0.25 ? 20 + 900 * random() : 20 + 200 * random()
  for (const { name, slots, ids } of SERVICES) {
    for (const id of ids) {
      const upstream = await startUpstream({ id, address: await fleet.nextAddress(), store, service: name, slots, handle: request => request.run(workMs()) })
      cleanUp(upstream.close)
      upstreams.push(upstream)
    }
  }
  const machine = await fleet.add({ name: 'm-1' })
  await fleet.add({ name: 'm-2' })
  await fleet.ready()
  await sleep(4000)
  note('all machines are ready and in touch')

  let isOver = false
  /** When the machine got SIGTERM; Infinity while it is to be used. */
  let signalledAt = Infinity
  const mayUse = () => !isOver && performance.now() < signalledAt + USE_AFTER_SIGTERM_MS && machine.exit === undefined
  const outcomes = {}
  let sent = 0
  let unanswered = []

  const sendGroup = connection => {
    const size = random() < 0.33 ? 1 + Math.ceil(MAX_BEHIND * random()) : 1
    return Array.from({ length: size }, async () => {
      const { prefix } = SERVICES[random() < 0.5 ? 0 : 1]
      const attemptId = `get-${++sent}`
      const sentAt = performance.now()
      const { status, closed, notSent } = await connection.send({ attemptId, path: `${prefix}${sent}`, deadlineMs: DEADLINE_MS })
      outcomes[status ?? 'closed'] = (outcomes[status ?? 'closed'] ?? 0) + 1
      if (closed !== undefined && notSent !== true) unanswered.push({ attemptId, sentAt, closedAt: performance.now() })
    })
  }
  const isGoingOn = () => !isOver
  const runClient = async () => {
    while (isGoingOn()) {
      if (!mayUse()) {
        await sleep(50)
        continue
      }
      const connection = openConnection(machine.frontend)
      while (mayUse() && connection.isOpen()) {
        await Promise.all(sendGroup(connection))
        if (random() < 0.25) await sleep(150 * random())
      }
      connection.close()
      await sleep(20)
    }
  }
  const clients = Array.from({ length: CLIENTS }, runClient)

  /** Requests that were passed on and got no answer, without those that the rule excuses. */
  const findLost = () => {
    const arrivals = new Map(upstreams.flatMap(({ arrivals: all }) => all).map(arrival => [arrival.attemptId, arrival]))
    return unanswered.flatMap(({ attemptId, sentAt, closedAt }) => {
      const arrival = arrivals.get(attemptId)
      if (arrival === undefined || closedAt >= sentAt + DEADLINE_MS) return []
      if ((arrival.answeredAt ?? Infinity) >= signalledAt + GRACE_MS * 5 / 6) return []
      return [{ attemptId, sentAt, closedAt, arrival }]
    })
  }

  let lostCount = 0
  for (let round = 1; round <= ROUNDS; round++) {
    await sleep(4000)
    unanswered = []
    signalledAt = performance.now()
    if (!hasTrouble) {
      await sleep(GRACE_MS)
    } else {
      machine.signal('SIGTERM')
      note(`SIGTERM ${round} to m-1`)
      const kill = setTimeout(() => machine.signal('SIGKILL'), GRACE_MS)
      await machine.exited
      clearTimeout(kill)
      note(`m-1 ended after ${Math.round(performance.now() - signalledAt)} ms (${machine.exit.signal ?? machine.exit.code})`)
      // The answers of the upstreams to what they still work on.
      await sleep(1200)
    }
    for (const { attemptId, sentAt, closedAt, arrival } of findLost()) {
      lostCount++
      const since = time => time === undefined ? 'never' : `${Math.round(time - signalledAt)} ms`
      note(`${attemptId} (safe) reached ${arrival.id} and got no answer; times since the SIGTERM: sent ${since(sentAt)}, at the upstream ${since(arrival.at)}, its answer ${since(arrival.answeredAt)}, closed ${since(closedAt)}`)
    }
    if (hasTrouble) {
      machine.start()
      await waitUntil(machine.isReady, 'm-1 is ready again')
    }
    signalledAt = Infinity
  }
  isOver = true
  await Promise.all(clients)
  note(`answers to all clients: ${JSON.stringify(outcomes)}`)
  note(`${lostCount} requests were passed on and got no answer around ${hasTrouble ? ROUNDS : 0} SIGTERMs`)
  return lostCount > 0
})
