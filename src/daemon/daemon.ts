import { Effect, Fiber } from 'effect'
import type { Log } from '../log/index.js'
import type { Clock, Endpoint } from '../model/index.js'
import { createOperatorAPI, createRecentRequests } from '../operators/index.js'
import { createPlatform } from '../platform/index.js'
import { KEEP_ADDRESSES_MS } from '../routing/index.js'
import type { Settings } from '../settings/index.js'
import { createFleet, type Fleet } from './fleet.js'
import { createInstruments } from './instruments.js'
import { createListedDrains } from './listed-drains.js'
import { createEndpoints } from './operator-endpoints.js'
import { createServing, type Serving } from './serving.js'

/** How often subsets and the quarantine follow what changed. */
const REFRESH_MS = 250
/** Callers use an address slightly longer than told, because the answer takes time to arrive. */
const KEEP_MARGIN_MS = 1000

/** What a daemon needs. */
export interface DaemonOptions {
  readonly settings: Settings
  readonly log: Log
  /** Monotonic time in ms. Default: `performance.now`. */
  readonly clock?: Clock
  /** How long address answers are kept, in ms. Tests shorten it. Default: 5000. */
  readonly keepAddressesMs?: number
}

/** A listener could not be opened. */
export interface StartFailure {
  readonly listener: 'callers' | 'operators' | 'peers'
  readonly detail: string
}

/** A running VM. */
export interface Daemon {
  readonly callers: Endpoint
  readonly operators: Endpoint
  readonly peers: Endpoint
  /**
   * Graceful shutdown: leaves the address answers, serves until callers have
   * forgotten the address, then ends with the last request in flight, at most
   * `stopLimitMs` after the call.
   */
  readonly stop: Effect.Effect<void>
}

interface Parts {
  readonly fleet: Fleet
  readonly serving: Serving
  readonly clock: Clock
  readonly log: Log
}

function refreshLoop ({ fleet, serving, clock }: Parts): Effect.Effect<never> {
  const listedDrains = createListedDrains(fleet.targets, serving.coordination.drain)
  return Effect.forever(Effect.andThen(Effect.sync(() => {
    const now = clock()
    fleet.subsets.refresh(fleet.membership.members(now))
    serving.quarantine.sweep(now)
    listedDrains.update(fleet.membership.leavingAddresses(now), now)
  }), Effect.sleep(REFRESH_MS)))
}

/** Runs a periodic task; a defect in one round is logged and the task starts again. */
function supervise (name: string, log: Log, task: Effect.Effect<unknown>): Effect.Effect<never> {
  return Effect.forever(task.pipe(
    Effect.catchCause(cause => Effect.sync(() => log.error('task.failed', { task: name, cause: String(cause) }))),
    Effect.andThen(Effect.sleep(REFRESH_MS))
  ))
}

function startTasks (parts: Parts): ReadonlyArray<Fiber.Fiber<unknown>> {
  const { fleet, serving, clock, log } = parts
  const tasks: ReadonlyArray<readonly [string, Effect.Effect<unknown>]> = [
    ['refresh', refreshLoop(parts)],
    ['membership', fleet.membership.start()],
    ['replica', fleet.replica.start()],
    ['coordination', serving.coordination.run(clock)],
    ['admission', serving.admission.maintain]
  ]
  return tasks.map(([name, task]) => Effect.runFork(supervise(name, log, task)))
}

function listenFailure (listener: StartFailure['listener']): (error: { message: string } | { detail: string }) => StartFailure {
  return error => ({ listener, detail: 'message' in error ? error.message : error.detail })
}

/**
 * Starts a VM.
 *
 * @returns fails when a listener cannot be opened
 *
 * @example
 * const daemon = await Effect.runPromise(startDaemon({ settings, log }))
 * process.once('SIGTERM', () => { void Effect.runPromise(daemon.stop) })
 */
export function startDaemon (options: DaemonOptions): Effect.Effect<Daemon, StartFailure> {
  return Effect.gen(function * () {
    const { settings, log, clock = () => performance.now(), keepAddressesMs = KEEP_ADDRESSES_MS } = options
    const startedAt = clock()
    const platform = createPlatform({ ...settings.platform, clock })
    const fleet = createFleet({ settings, platform, log, clock })
    const recent = createRecentRequests()
    const instruments = createInstruments({ settings, fleet, recent, clock })
    const serving = createServing({
      settings, fleet, platform, finished: instruments.finished, observed: instruments.observed, log, clock
    })
    const operators = createOperatorAPI({
      token: settings.operatorToken,
      endpoints: createEndpoints({ settings, fleet, serving, recent, metricsText: now => instruments.text(serving, now), clock, startedAt }),
      log
    })
    const parts: Parts = { fleet, serving, clock, log }

    const peersEndpoint = yield * Effect.mapError(fleet.mesh.listen(), listenFailure('peers'))
    const operatorsEndpoint = yield * Effect.tryPromise({
      try: () => operators.listen(settings.operators),
      catch: error => ({ listener: 'operators' as const, detail: (error as Error).message })
    })
    const tasks = startTasks(parts)
    const callersEndpoint = yield * Effect.mapError(serving.entry.listen(settings.vm.callers), listenFailure('callers'))
    log.info('vm.started', { incarnation: fleet.incarnation, place: settings.vm.place })

    const stop = Effect.gen(function * () {
      const stopAt = clock()
      log.info('vm.stopping', { keepAddressesMs })
      fleet.membership.leave()
      serving.coordination.leave(stopAt)
      yield * Effect.sleep(keepAddressesMs + KEEP_MARGIN_MS)
      yield * serving.entry.stop(stopAt)
      yield * serving.claims.drain()
      yield * Effect.forEach(tasks, Fiber.interrupt, { discard: true })
      yield * fleet.mesh.stop()
      yield * Effect.promise(operators.stop)
      platform.close()
      log.info('vm.stopped')
    })
    return { callers: callersEndpoint, operators: operatorsEndpoint, peers: peersEndpoint, stop }
  })
}
