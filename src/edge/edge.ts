/** Composition root of an edge VM, which reads its configuration and its targets from a shared store. */
import { Effect, Fiber } from 'effect'
import { createTrafficSplitter, createCatalog, type Catalog } from '../catalog/index.js'
import { createEntry, type Dialect, type Entry } from '../entry/index.js'
import { createCatalogSync, type CatalogSync } from '../following/index.js'
import type { Log } from '../log/index.js'
import type { Clock } from '../model/index.js'
import { createIncarnation, createMesh, type PeerMesh } from '../peer/index.js'
import { createLoadBalancer, createRetryShare, type LoadBalancer } from '../placing/index.js'
import { createQuarantine } from '../quarantine/index.js'
import { coresOf, createRoster, type Roster, type Status } from '../roster/index.js'
import type { Store } from '../store/index.js'
import { closeEndpoint, jsonResponse, NOT_FOUND, openEndpoint, type OpenFailure, type Responder } from './http-endpoint.js'
import { expectedCores } from './expected-demand.js'
import { createInstruments } from './instruments.js'
import { join, VMS_PATH } from './joining.js'
import { createLimits } from './limits.js'
import { createLoadMeter, readEventLoopTime, type EventLoopTime, type LoadMeter } from './load-meter.js'
import { resolveRequest } from './routes.js'
import { connectionLimitPerVM, createServingView } from './serving-view.js'
import type { EdgeSettings } from './settings.js'
import { createLagMonitor } from './lag-monitor.js'
import { stopTimes } from './stop-times.js'

const METRICS_PATH = '/metrics'
/** Responses up to this size are buffered before they are forwarded; larger ones are streamed. */
const RESPONSE_BUFFER_BYTES = 64 * 1024
/** Longest request body that is buffered before the request takes a slot of a target, and the memory for all of them, a tenth of the smallest machines. */
const BODY_MEMORY = { perRequest: 512 * 1024, total: 24 * 1024 * 1024 }
/** If a connection to a target is not established within this time, another target is tried. */
const CONNECT_TIMEOUT_MS = 300
/** Connections that were idle for longer are not reused, because the peer may have dropped them silently. */
const MAX_REUSE_IDLE_MS = 3000
const HOUSEKEEPING_INTERVAL_MS = 250
/** The same while no caller is directed to this VM: each wake-up costs processor time. */
const IDLE_HOUSEKEEPING_INTERVAL_MS = 1000
/** Interval between heartbeats to other VMs, in ms, except between two VMs that serve callers. */
const IDLE_HEARTBEAT_INTERVAL_MS = 1000
const SERVING_HEARTBEAT_INTERVAL_MS = 500
/** Interval between checks of the wanted links while all of them are open, in ms. */
const LINKED_CHECK_INTERVAL_MS = 1000
/** Delay before the second VM of a pair dials. It avoids duplicate dials, as most links are wanted by only one of the two. */
const SECOND_DIAL_DELAY_MS = 200
/** Time after which a ready VM reports its utilisation, in ms; before, the start itself takes most of it. */
const STARTUP_LOAD_MS = 2000
/** Settings and dependencies of a VM. */
export interface EdgeOptions {
  readonly settings: EdgeSettings
  readonly store: Store
  readonly dialect: Dialect
  /** Creates the responder of the directory endpoint and of the readiness endpoint, in the platform's format. */
  readonly directoryResponder: (addresses: () => AddressList) => Responder
  readonly readinessResponder: (isReady: () => boolean) => Responder
  readonly log: Log
  readonly clock?: Clock
  readonly random?: () => number
  /** Default: the times of this process's event loop. */
  readonly eventLoopTime?: () => EventLoopTime
}

/** Addresses of the VMs that a caller should use. */
export interface AddressList {
  /** In the form `IP:PORT`. */
  readonly addresses: readonly string[]
  readonly ttlMs: number
}

/** A running VM. */
export interface Edge {
  /**
   * Applies changed settings: seeds, retry budget, address TTL and grace period. Other changes need a
   * restart; a warning is logged for them.
   */
  readonly reload: (settings: EdgeSettings) => void
  /** Shuts down gracefully: completes when the last request is answered, at most one grace period after the call. */
  readonly stop: Effect.Effect<void>
}

/** The components of a VM. */
export interface EdgeComponents {
  readonly catalog: Catalog
  readonly mesh: PeerMesh
  readonly roster: Roster
  readonly catalogSync: CatalogSync
  readonly loadBalancer: LoadBalancer
  readonly entry: Entry
  readonly loadMeter: LoadMeter
}

/** Settings that take effect only at startup. */
const RESTART_ONLY_SETTINGS = ['vm', 'directory', 'readiness', 'admin', 'store'] as const

/** Runs a task forever: it is restarted when it ends, and a failure is logged. */
function supervise (name: string, log: Log, task: Effect.Effect<unknown>): Effect.Effect<never> {
  return Effect.forever(task.pipe(
    Effect.catchCause(cause => Effect.sync(() => log.error('task.failed', { task: name, cause: String(cause) }))),
    Effect.andThen(Effect.sleep(HOUSEKEEPING_INTERVAL_MS))
  ))
}

/**
 * Starts a VM.
 *
 * @returns an effect that fails if an endpoint cannot be opened
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
  /** Whether callers were directed to this VM at the last housekeeping. */
  let wasServing = false

  const lagMonitor = createLagMonitor()
  const loadMeter = createLoadMeter(options.eventLoopTime ?? readEventLoopTime)
  const instruments = createInstruments(log, clock)
  const catalog = createCatalog(log)
  let expected = 0
  catalog.onChange(() => {
    const ruleset = catalog.ruleset()
    if (ruleset !== undefined) expected = expectedCores(ruleset, catalog.listings())
  })
  const isServingLink = (peer: string): boolean => wasServing && servingVMs.all(clock()).includes(peer)
  const mesh = createMesh({
    self: vm,
    incarnation: createIncarnation(Date.now()),
    // The VMs share no secret, so any host that reaches the peer ports can open a link.
    key: Buffer.from('camphorbay'),
    wanted: () => roster.linksWanted(clock()),
    secondDialDelayMs: SECOND_DIAL_DELAY_MS,
    linkedCheckIntervalMs: LINKED_CHECK_INTERVAL_MS,
    heartbeatIntervalMs: peer => isServingLink(peer) ? SERVING_HEARTBEAT_INTERVAL_MS : IDLE_HEARTBEAT_INTERVAL_MS,
    log,
    clock
  })

  const statusAt = (now: number): Status => ({
    phase: isLeaving ? 'leaving' : readySince === undefined ? 'starting' : 'ready',
    storeAgeMs: catalogSync.storeAgeMs(now),
    rulesetsUpTo: catalog.upTo('rulesets'),
    listingsUpTo: catalog.upTo('listings'),
    // A slow VM reports an uptime of 0, as if it had just started, so that other VMs are preferred.
    readyMs: readySince === undefined || lagMonitor.isSlow(now) ? 0 : now - readySince,
    cores: coresOf(vm),
    usedCores: readySince === undefined || now - readySince < STARTUP_LOAD_MS ? 0 : loadMeter.requestCores(coresOf(vm))
  })
  const roster: Roster = createRoster({
    self: vm,
    mesh,
    expectedCores: () => expected,
    status: statusAt,
    onStatus: (from, status, now) => catalogSync.handleStatus(from, status, now),
    log,
    clock
  })
  const catalogSync: CatalogSync = createCatalogSync({ place: vm.place, isFirstStart: settings.isFirstStart ?? false, store, catalog, mesh, roster: () => roster, random, log, clock })
  const servingVMs = createServingView(roster, vm.name)
  const retryShare = createRetryShare(() => settings.retries.windowMs)
  const retryShareAt = (now: number): number => retryShare.at(servingVMs.count(now), now)
  const quarantine = createQuarantine({ mesh, log, clock, members: () => servingVMs.all(clock()).filter(name => name !== vm.name) })
  const loadBalancer = createLoadBalancer({
    self: vm.name,
    zone: vm.place,
    catalog,
    mesh,
    servingVMs: servingVMs.all,
    zonePeers: servingVMs.local,
    otherZoneVMs: servingVMs.remote,
    retries: () => settings.retries,
    retryShare: retryShareAt,
    observe: (observation, now) => {
      quarantine.observe(observation, now)
      instruments.recordObservation(observation)
    },
    random,
    log,
    clock
  })
  const splitter = createTrafficSplitter(random)
  const entry = createEntry({
    resolve: (host, path) => resolveRequest(catalog, splitter, host, path, catalogSync.confirmedAgeMs(clock())),
    checkServing: () => undefined,
    isQuarantined: quarantine.isQuarantined,
    admission: loadBalancer,
    takeRetryToken: loadBalancer.tryWithdrawRetry,
    earnRetryToken: loadBalancer.depositRetry,
    connectionLimit: (service, _target, now) => connectionLimitPerVM(catalog, service, servingVMs.all(now).length),
    medianLatencyMs: loadBalancer.averageLatencyMs,
    observe: instruments.recordRequest,
    isFingerprintPerCaller: true,
    connectTimeoutMs: CONNECT_TIMEOUT_MS,
    maxReuseIdleMs: MAX_REUSE_IDLE_MS,
    responseBufferBytes: RESPONSE_BUFFER_BYTES,
    bodyMemory: BODY_MEMORY,
    isDeadlineForBody: true,
    dialect,
    log,
    clock,
    limits: createLimits(catalog, () => stopTimes(settings.graceMs, settings.addressTtlMs).limitMs)
  })

  const isReady = (): boolean => readySince !== undefined && !isLeaving
  const addresses = (): AddressList => {
    const serving = roster.serving(clock())
    const listed = serving.length > 0 || isLeaving ? serving : [vm]
    return { addresses: listed.map(({ callers }) => `${callers.address}:${callers.port}`), ttlMs: settings.addressTtlMs }
  }
  const adminResponder: Responder = path => {
    if (path === VMS_PATH) return jsonResponse(200, roster.known())
    if (path === METRICS_PATH) return { status: 200, contentType: 'text/plain; version=0.0.4', body: instruments.render(components) }
    return NOT_FOUND
  }

  /** Logs when callers are directed to this VM, and when they no longer are. */
  const logServing = (now: number): void => {
    const isServing = roster.isServing(now)
    if (isServing === wasServing) return
    wasServing = isServing
    const { measuredCores, expectedCores: forecastCores } = roster.demand(now)
    log.info(isServing ? 'serving.started' : 'serving.ended', {
      vms: roster.serving(now).map(({ name }) => name), measuredCores: Number(measuredCores.toFixed(2)), expectedCores: Number(forecastCores.toFixed(2))
    })
  }

  let intervalMs = HOUSEKEEPING_INTERVAL_MS
  const housekeeping = Effect.forever(Effect.suspend(() => {
    const now = clock()
    const { framesSent, framesReceived } = mesh.traffic()
    loadMeter.sample(framesSent + framesReceived)
    instruments.logLoad(components, now)
    if (lagMonitor.recordTick(intervalMs, now)) {
      log.warn('vm.slow', { utilisation: Number(loadMeter.utilisation().toFixed(2)) })
      roster.announce(now)
    }
    logServing(now)
    retryShareAt(now)
    catalog.sweep(now)
    quarantine.sweep(now)
    if (readySince === undefined && catalog.ruleset() !== undefined && catalog.upTo('listings') > 0) {
      readySince = now
      servingVMs.invalidate()
      log.info('vm.ready', { ruleset: catalog.ruleset()?.version, targets: catalog.listings().length })
      roster.announce(now)
    }
    intervalMs = readySince === undefined || wasServing ? HOUSEKEEPING_INTERVAL_MS : IDLE_HOUSEKEEPING_INTERVAL_MS
    return Effect.sleep(intervalMs)
  }))

  const components: EdgeComponents = { catalog, mesh, roster, catalogSync, loadBalancer, entry, loadMeter }

  return Effect.gen(function * () {
    const readiness = yield * openEndpoint('readiness', settings.readiness, options.readinessResponder(isReady), log)
    const admin = yield * openEndpoint('admin', settings.admin, adminResponder, log)
    const directory = yield * openEndpoint('directory', settings.directory, options.directoryResponder(addresses), log)
    yield * Effect.mapError(components.mesh.listen(), ({ detail }) => ({ endpoint: 'peers', detail }))
    yield * Effect.mapError(entry.listen(vm.callers), ({ message }) => ({ endpoint: 'callers', detail: message }))
    const tasks = [
      ['joining', join({ self: vm, seeds: () => settings.seeds, store, era: catalog.era, roster, mesh, random, log })],
      ['following', catalogSync.run],
      ['placing', loadBalancer.maintain],
      ['housekeeping', housekeeping]
    ] as const
    const fibers = tasks.map(([name, task]) => Effect.runFork(supervise(name, log, task)))
    log.info('vm.started', { place: vm.place })

    const stop = Effect.gen(function * () {
      const stopAt = clock()
      isLeaving = true
      log.info('vm.stopping', { graceMs: settings.graceMs })
      roster.announce(stopAt)
      yield * Effect.sleep(stopTimes(settings.graceMs, settings.addressTtlMs).drainDelayMs)
      yield * entry.stop(stopAt)
      yield * Effect.forEach(fibers, Fiber.interrupt, { discard: true })
      yield * mesh.stop()
      store.close()
      for (const endpoint of [readiness, admin, directory]) closeEndpoint(endpoint)
      log.info('vm.stopped')
    })
    const reload = (changed: EdgeSettings): void => {
      const restarts = RESTART_ONLY_SETTINGS.filter(name => JSON.stringify(changed[name]) !== JSON.stringify(settings[name]))
      if (restarts.length > 0) log.warn('settings.restart-needed', { settings: restarts })
      log.info('settings.reloaded', { addressTtlMs: changed.addressTtlMs, graceMs: changed.graceMs })
      settings = changed
    }
    return { stop, reload }
  })
}
