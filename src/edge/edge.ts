/** A VM of a fleet that keeps its configuration and its targets in a store. */
import { Effect, Fiber } from 'effect'
import { createBranches, createCatalog, type Catalog } from '../catalog/index.js'
import { createEntry, type Dialect, type Entry } from '../entry/index.js'
import { createFollowing, type Following } from '../following/index.js'
import type { Log } from '../log/index.js'
import type { Clock } from '../model/index.js'
import { createIncarnation, createMesh, type PeerMesh } from '../peer/index.js'
import { createPlacing, type Placing } from '../placing/index.js'
import { createQuarantine } from '../quarantine/index.js'
import { createRoster, type Roster, type Status } from '../roster/index.js'
import type { Store } from '../store/index.js'
import { closeEndpoint, jsonAnswer, NOT_FOUND, openEndpoint, type OpenFailure, type Responder } from './http-endpoint.js'
import { createInstruments } from './instruments.js'
import { join, VMS_PATH } from './joining.js'
import { createLimits } from './limits.js'
import { resolveRequest } from './routes.js'
import { connectionShare, createServingView } from './serving-view.js'
import type { EdgeSettings } from './settings.js'
import { createSpeedWatch } from './speed.js'

const METRICS_PATH = '/metrics'
/** VMs of a zone that callers are told to use. */
const SERVING_PER_ZONE = 2
/** Part of an answer that is read before it is sent on; larger ones are streamed. */
const COLLECT_BYTES = 64 * 1024
/** A connection to a target that is established later than this is tried elsewhere. */
const CONNECT_TIMEOUT_MS = 300
/** Older idle connections may have gone silent. */
const REUSE_WITHIN_MS = 3000
const HOUSEKEEPING_MS = 250
/** Most links are wanted by one of the two VMs only, so the other one does not dial. */
const SECOND_DIAL_MS = 200
/** Part of the grace for which a VM that stops goes on as before, until callers have new addresses. */
const STAY_PART = 0.45
/** Time at the end of the grace that is left for the end of the process. */
const END_MARGIN_MS = 250
/** Callers that keep an answer with addresses for longer than told keep it three times as long. */
const KEPT_FACTOR = 3

/** What a VM needs besides its settings. */
export interface EdgeOptions {
  readonly settings: EdgeSettings
  readonly store: Store
  readonly dialect: Dialect
  /** Answers of the directory and of the readiness endpoint, in the form of the machines' operators. */
  readonly directoryResponder: (addresses: () => AddressAnswer) => Responder
  readonly readinessResponder: (isReady: () => boolean) => Responder
  readonly log: Log
  readonly clock?: Clock
  readonly random?: () => number
}

/** VMs that a caller should use. */
export interface AddressAnswer {
  /** Addresses with port. */
  readonly addresses: readonly string[]
  readonly ttlMs: number
}

/** A running VM. */
export interface Edge {
  /**
   * Takes changed settings: seeds, retries, the time for which addresses are kept, and the grace. Other
   * changes need a restart, which the log says.
   */
  readonly reload: (settings: EdgeSettings) => void
  /** Graceful shutdown; ends when the last request is answered, at most the grace after the call. */
  readonly stop: Effect.Effect<void>
}

/** What a VM consists of. */
export interface EdgeParts {
  readonly catalog: Catalog
  readonly mesh: PeerMesh
  readonly roster: Roster
  readonly following: Following
  readonly placing: Placing
  readonly entry: Entry
}

/** Settings that take effect at the start only. */
const FIXED_SETTINGS = ['vm', 'directory', 'readiness', 'admin', 'store'] as const

/** Runs a task; a defect is logged and the task starts again. */
function supervise (name: string, log: Log, task: Effect.Effect<unknown>): Effect.Effect<never> {
  return Effect.forever(task.pipe(
    Effect.catchCause(cause => Effect.sync(() => log.error('task.failed', { task: name, cause: String(cause) }))),
    Effect.andThen(Effect.sleep(HOUSEKEEPING_MS))
  ))
}

/**
 * Starts a VM.
 *
 * @returns fails when an endpoint cannot be opened
 *
 * @example
 * const edge = await Effect.runPromise(startEdge({ settings, store, dialect, directoryResponder, readinessResponder, log }))
 * process.once('SIGTERM', () => { void Effect.runPromise(edge.stop) })
 */
export function startEdge (options: EdgeOptions): Effect.Effect<Edge, OpenFailure> {
  const { store, dialect, log, clock = () => performance.now(), random = Math.random } = options
  let settings = options.settings
  const { vm } = settings
  let readySince: number | undefined
  let isLeaving = false

  const speed = createSpeedWatch(HOUSEKEEPING_MS)
  const instruments = createInstruments(log, clock)
  const catalog = createCatalog(log)
  const mesh = createMesh({
    self: vm,
    incarnation: createIncarnation(Date.now()),
    // The machines share no secret; links are open to whoever reaches the ports between VMs.
    key: Buffer.from('camphorbay'),
    wanted: () => roster.linksWanted(clock()),
    secondDialDelayMs: SECOND_DIAL_MS,
    log,
    clock
  })

  const statusAt = (now: number): Status => ({
    phase: isLeaving ? 'leaving' : readySince === undefined ? 'starting' : 'ready',
    storeAgeMs: following.storeAgeMs(now),
    rulesetsUpTo: catalog.upTo('rulesets'),
    listingsUpTo: catalog.upTo('listings'),
    // A slow VM counts as one that has just started, so that others serve in its place.
    readyMs: readySince === undefined || speed.isSlow(now) ? 0 : now - readySince
  })
  const roster: Roster = createRoster({
    self: vm,
    mesh,
    servingPerZone: SERVING_PER_ZONE,
    status: statusAt,
    heard: (from, status, now) => following.heard(from, status, now),
    log,
    clock
  })
  const following: Following = createFollowing({ place: vm.place, store, catalog, mesh, roster: () => roster, random, log, clock })
  const servingVMs = createServingView(roster, vm.name)
  const quarantine = createQuarantine({ mesh, log, clock, members: () => servingVMs.all(clock()).filter(name => name !== vm.name) })
  const placing = createPlacing({
    self: vm.name,
    zone: vm.place,
    catalog,
    mesh,
    servingVMs: servingVMs.all,
    neighbours: servingVMs.neighbours,
    farServing: servingVMs.far,
    retries: () => settings.retries,
    observe: (observation, now) => {
      quarantine.observe(observation, now)
      instruments.observed(observation)
    },
    random,
    log,
    clock
  })
  const branches = createBranches(random)
  const entry = createEntry({
    resolve: (host, path) => resolveRequest(catalog, branches, host, path, following.confirmedAgeMs(clock())),
    checkServing: () => undefined,
    isQuarantined: quarantine.quarantined,
    admission: placing,
    takeRetryToken: placing.takeRetry,
    earnRetryToken: placing.earnRetry,
    connectionLimit: (service, _target, now) => connectionShare(catalog, service, servingVMs.all(now).length),
    medianLatencyMs: placing.usualMs,
    observe: instruments.finished,
    isFingerprintPerCaller: true,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxReuseIdleMs: REUSE_WITHIN_MS,
    responseBufferBytes: COLLECT_BYTES,
    dialect,
    log,
    clock,
    limits: createLimits(catalog, () => settings.graceMs * (1 - STAY_PART) - END_MARGIN_MS)
  })

  const isReady = (): boolean => readySince !== undefined && !isLeaving
  const addresses = (): AddressAnswer => {
    const serving = roster.serving(clock())
    const used = serving.length > 0 || isLeaving ? serving : [vm]
    return { addresses: used.map(({ callers }) => `${callers.address}:${callers.port}`), ttlMs: settings.addressTtlMs }
  }
  const adminResponder: Responder = path => {
    if (path === VMS_PATH) return jsonAnswer(200, roster.known())
    if (path === METRICS_PATH) return { status: 200, contentType: 'text/plain; version=0.0.4', body: instruments.text(parts) }
    return NOT_FOUND
  }

  const housekeeping = Effect.forever(Effect.suspend(() => {
    const now = clock()
    if (speed.beat(now)) {
      log.warn('vm.slow')
      roster.announce(now)
    }
    catalog.sweep(now)
    quarantine.sweep(now)
    if (readySince === undefined && catalog.ruleset() !== undefined && catalog.upTo('listings') > 0) {
      readySince = now
      log.info('vm.ready', { ruleset: catalog.ruleset()?.version, targets: catalog.listings().length })
      roster.announce(now)
    }
    return Effect.sleep(HOUSEKEEPING_MS)
  }))

  const parts: EdgeParts = { catalog, mesh, roster, following, placing, entry }

  return Effect.gen(function * () {
    const readiness = yield * openEndpoint('readiness', settings.readiness, options.readinessResponder(isReady), log)
    const admin = yield * openEndpoint('admin', settings.admin, adminResponder, log)
    const directory = yield * openEndpoint('directory', settings.directory, options.directoryResponder(addresses), log)
    yield * Effect.mapError(parts.mesh.listen(), ({ detail }) => ({ endpoint: 'peers', detail }))
    yield * Effect.mapError(entry.listen(vm.callers), ({ message }) => ({ endpoint: 'callers', detail: message }))
    const tasks = [
      ['joining', join({ self: vm, seeds: () => settings.seeds, store, roster, log })],
      ['following', following.run],
      ['placing', placing.maintain],
      ['housekeeping', housekeeping]
    ] as const
    const fibers = tasks.map(([name, task]) => Effect.runFork(supervise(name, log, task)))
    log.info('vm.started', { place: vm.place })

    const stop = Effect.gen(function * () {
      const stopAt = clock()
      isLeaving = true
      log.info('vm.stopping', { graceMs: settings.graceMs })
      roster.announce(stopAt)
      yield * Effect.sleep(Math.min(settings.graceMs * STAY_PART, settings.addressTtlMs * KEPT_FACTOR))
      yield * entry.stop(clock())
      yield * Effect.forEach(fibers, Fiber.interrupt, { discard: true })
      yield * mesh.stop()
      store.close()
      for (const endpoint of [readiness, admin, directory]) closeEndpoint(endpoint)
      log.info('vm.stopped')
    })
    const reload = (changed: EdgeSettings): void => {
      const restarts = FIXED_SETTINGS.filter(name => JSON.stringify(changed[name]) !== JSON.stringify(settings[name]))
      if (restarts.length > 0) log.warn('settings.restart-needed', { settings: restarts })
      log.info('settings.reloaded', { addressTtlMs: changed.addressTtlMs, graceMs: changed.graceMs })
      settings = changed
    }
    return { stop, reload }
  })
}
