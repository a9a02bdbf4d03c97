import { Effect, Fiber } from 'effect'
import type { Log } from '../log/index.js'
import type { Clock, Endpoint } from '../model/index.js'
import { createOperatorAPI, createRecentRequests } from '../operators/index.js'
import { createPlatform } from '../platform/index.js'
import { KEEP_ADDRESSES_MS } from '../routing/index.js'
import type { Settings } from '../settings/index.js'
import { createFleetComponents, type FleetComponents } from './fleet-components.js'
import { createInstruments } from './instruments.js'
import { createDrainRecorder } from './drain-recorder.js'
import { createOperatorEndpoints } from './operator-endpoints.js'
import { createServingComponents, type ServingComponents } from './serving-components.js'

/** Refresh interval of the subsets, the quarantine and the listed drains, and restart delay of failed tasks. */
const REFRESH_INTERVAL_MS = 250
/** Callers cache an address slightly longer than its TTL, because the response takes time to arrive. */
const ADDRESS_CACHE_MARGIN_MS = 1000

/** Options of {@link startDaemon}. */
export interface DaemonOptions {
  readonly settings: Settings
  readonly log: Log
  /** Monotonic time in ms. Default: `performance.now`. */
  readonly clock?: Clock
  /** Time for which callers cache addresses, in ms. Tests use a shorter one. Default: 5000. */
  readonly keepAddressesMs?: number
}

/** Failure to open a listener. */
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
   * Shuts down gracefully: removes this VM from the addresses given to callers,
   * serves until cached addresses have expired, and completes with the last
   * request in flight, at most `stopLimitMs` after the call.
   */
  readonly stop: Effect.Effect<void>
}

interface DaemonComponents {
  readonly fleet: FleetComponents
  readonly serving: ServingComponents
  readonly clock: Clock
  readonly log: Log
}

function refreshLoop ({ fleet, serving, clock }: DaemonComponents): Effect.Effect<never> {
  const drainRecorder = createDrainRecorder(fleet.targetIndex, serving.coordination.drain)
  return Effect.forever(Effect.andThen(Effect.sync(() => {
    const now = clock()
    fleet.subsets.refresh(fleet.membership.members(now))
    serving.quarantine.sweep(now)
    drainRecorder.update(fleet.membership.leavingAddresses(now), now)
  }), Effect.sleep(REFRESH_INTERVAL_MS)))
}

/** Runs a task forever: it is restarted when it ends, and a failure is logged. */
function supervise (name: string, log: Log, task: Effect.Effect<unknown>): Effect.Effect<never> {
  return Effect.forever(task.pipe(
    Effect.catchCause(cause => Effect.sync(() => log.error('task.failed', { task: name, cause: String(cause) }))),
    Effect.andThen(Effect.sleep(REFRESH_INTERVAL_MS))
  ))
}

function startTasks (components: DaemonComponents): ReadonlyArray<Fiber.Fiber<unknown>> {
  const { fleet, serving, clock, log } = components
  const tasks: ReadonlyArray<readonly [string, Effect.Effect<unknown>]> = [
    ['refresh', refreshLoop(components)],
    ['membership', fleet.membership.start()],
    ['replica', fleet.replica.start()],
    ['coordination', serving.coordination.run(clock)],
    ['admission', serving.admission.maintain]
  ]
  return tasks.map(([name, task]) => Effect.runFork(supervise(name, log, task)))
}

function toStartFailure (listener: StartFailure['listener']): (error: { message: string } | { detail: string }) => StartFailure {
  return error => ({ listener, detail: 'message' in error ? error.message : error.detail })
}

/**
 * Starts a VM.
 *
 * @returns an effect that fails if a listener cannot be opened
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
    const fleet = createFleetComponents({ settings, platform, log, clock })
    const recentRequests = createRecentRequests()
    const instruments = createInstruments({ settings, fleet, recentRequests, clock })
    const serving = createServingComponents({
      settings, fleet, platform, recordRequest: instruments.recordRequest, recordObservation: instruments.recordObservation, log, clock
    })
    const operators = createOperatorAPI({
      token: settings.operatorToken,
      endpoints: createOperatorEndpoints({ settings, fleet, serving, recentRequests, renderMetrics: now => instruments.render(serving, now), clock, startedAt }),
      log
    })
    const components: DaemonComponents = { fleet, serving, clock, log }

    const peersEndpoint = yield * Effect.mapError(fleet.mesh.listen(), toStartFailure('peers'))
    const operatorsEndpoint = yield * Effect.tryPromise({
      try: () => operators.listen(settings.operators),
      catch: error => ({ listener: 'operators' as const, detail: (error as Error).message })
    })
    const tasks = startTasks(components)
    const callersEndpoint = yield * Effect.mapError(serving.entry.listen(settings.vm.callers), toStartFailure('callers'))
    log.info('vm.started', { incarnation: fleet.incarnation, place: settings.vm.place })

    const stop = Effect.gen(function * () {
      const stopRequestedAt = clock()
      log.info('vm.stopping', { keepAddressesMs })
      fleet.membership.leave()
      serving.coordination.leave(stopRequestedAt)
      yield * Effect.sleep(keepAddressesMs + ADDRESS_CACHE_MARGIN_MS)
      yield * serving.entry.stop(stopRequestedAt)
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
