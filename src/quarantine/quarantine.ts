import type { Log } from '../log/index.js'
import type { Clock, Mesh, Observation } from '../model/index.js'
import { createLossHistory, type Loss } from './loss-history.js'
import { MAX_QUARANTINED, QUARANTINE_MS, quarantineChannel, quarantineReportChannel, type QuarantineEntry, type ReportBody } from './messages.js'
import { createLastSeenCache } from './last-seen-cache.js'

/**
 * A request that was answered within this time is not a cause, since it does
 * not crash every target. This protects popular requests: they run at most
 * targets at any time and are therefore lost whenever several targets go down.
 */
const ANSWERED_WINDOW_MS = 10_000

/** Number of requests, and of targets, for which the time of the latest response is kept. */
const MAX_ANSWERED = 4096

/** Received entries that expire sooner than this are neither stored nor forwarded. */
const MIN_ADOPTED_REMAINING_MS = 1000

/** Dependencies of the quarantine. */
export interface QuarantineOptions {
  readonly mesh: Mesh
  readonly log: Log
  /** Read when a message arrives. */
  readonly clock: Clock
  /** VMs that serve the service, to which losses are reported. Default: all VMs with a link. */
  readonly members?: (service: string) => readonly string[]
  /** Called with this VM's observations that a crashing request caused, so that they do not count against the targets. Default: no-op. */
  readonly retractObservations?: (observations: readonly Observation[], now: number) => void
}

/** Detects requests that crash targets and keeps the table of quarantined requests. */
export interface Quarantine {
  /** Records the result of an attempt. Call it after outlier detection has recorded it, since it may be retracted at once. */
  readonly observe: (observation: Observation, now: number) => void
  /** Whether a request with this fingerprint is quarantined and must be refused. */
  readonly isQuarantined: (fingerprint: string, now: number) => boolean
  /** Evaluates the recorded losses, drops expired entries and sends the table on new links. Call it every 250 ms. */
  readonly sweep: (now: number) => void
  /** The quarantine table, for operators. */
  readonly explain: (now: number) => readonly QuarantineEntry[]
}

/**
 * Creates an empty quarantine.
 *
 * A request is quarantined for 10 min when, within 60 s and without a response,
 * it was the only request lost at two different targets, or was lost at three.
 *
 * @example
 * const quarantine = createQuarantine({ mesh, log, clock })
 * quarantine.observe(observation, now)
 * if (quarantine.isQuarantined(fingerprint, now)) refuse('request-quarantined')
 */
export function createQuarantine (options: QuarantineOptions): Quarantine {
  const { mesh, log, clock, retractObservations } = options
  const members = options.members ?? (() => mesh.contacts().map(({ vm }) => vm))
  const losses = createLossHistory()
  const answeredRequests = createLastSeenCache(MAX_ANSWERED)
  const answeringTargets = createLastSeenCache(MAX_ANSWERED)
  const quarantinedUntil = new Map<string, number>()
  const retracted = new WeakSet<Observation>()
  /** Incarnations of the peers that have received the table, by VM name. */
  let syncedPeers: ReadonlyMap<string, string> = new Map()

  const isQuarantined = (fingerprint: string, now: number): boolean => (quarantinedUntil.get(fingerprint) ?? -Infinity) > now
  const retractCrashes = (crashes: readonly Loss[], now: number): void => {
    const victims = crashes.flatMap(loss => losses.inSameCrash(loss)).flatMap(({ observation }) => observation ?? [])
    const fresh = [...new Set(victims)].filter(observation => !retracted.has(observation))
    for (const observation of fresh) retracted.add(observation)
    if (fresh.length > 0) retractObservations?.(fresh, now)
  }
  /** Adds the entries that are not quarantined yet and returns them. Evicts the oldest entries of a full table. */
  const addUnknownEntries = (entries: readonly QuarantineEntry[], now: number): readonly QuarantineEntry[] => {
    const fresh = entries.filter(({ fingerprint, remainingMs }) => remainingMs >= MIN_ADOPTED_REMAINING_MS && !isQuarantined(fingerprint, now))
    for (const { fingerprint, remainingMs } of fresh) {
      quarantinedUntil.delete(fingerprint)
      quarantinedUntil.set(fingerprint, now + remainingMs)
      retractCrashes(losses.get(fingerprint), now)
    }
    for (const oldest of quarantinedUntil.keys()) {
      if (quarantinedUntil.size <= MAX_QUARANTINED) break
      quarantinedUntil.delete(oldest)
    }
    return fresh
  }
  const broadcast = (entries: readonly QuarantineEntry[], except?: string): void => {
    if (entries.length === 0) return
    for (const { vm } of mesh.contacts()) if (vm !== except) mesh.send(vm, quarantineChannel, { entries })
  }
  const quarantineIfCause = (fingerprint: string, now: number): void => {
    if (isQuarantined(fingerprint, now) || !losses.isCause(fingerprint, now)) return
    const targets = [...new Set(losses.get(fingerprint).map(({ target }) => target))]
    log.warn('quarantine.added', { fingerprint, targets })
    broadcast(addUnknownEntries([{ fingerprint, remainingMs: QUARANTINE_MS }], now))
  }
  const broadcastReport = (body: ReportBody): void => {
    for (const vm of members(body.service)) mesh.send(vm, quarantineReportChannel, body)
  }
  const explain = (now: number): readonly QuarantineEntry[] => [...quarantinedUntil]
    .filter(([, until]) => until > now)
    .map(([fingerprint, until]) => ({ fingerprint, remainingMs: until - now }))

  const wasAnsweredRecently = (fingerprint: string, now: number): boolean => answeredRequests.wasSeenAfter(fingerprint, now - ANSWERED_WINDOW_MS)
  const addLoss = (loss: Loss, now: number): void => {
    losses.add(loss)
    // A cleared loss stays in the history, so the other requests of the crash do not look like sole losses.
    if (wasAnsweredRecently(loss.fingerprint, now)) losses.clear(loss.fingerprint)
    if (losses.inSameCrash(loss).some(({ fingerprint }) => isQuarantined(fingerprint, now))) retractCrashes([loss], now)
    quarantineIfCause(loss.fingerprint, now)
  }
  const observeLoss = (observation: Observation, result: Loss['result'], now: number): void => {
    const { service, target, fingerprint, latencyMs } = observation
    const startedAt = now - latencyMs
    // The target answered other requests in the meantime, so it did not crash; only this connection went silent.
    if (result === 'silent' && answeringTargets.wasSeenAfter(targetKey(observation), startedAt)) return
    broadcastReport({ service, target, fingerprint, result, latencyMs, agoMs: 0 })
    if (wasAnsweredRecently(fingerprint, now)) broadcastReport({ service, target, fingerprint, result: 'answered', latencyMs: 0, agoMs: 0 })
    addLoss({ fingerprint, service, target, result, startedAt, endedAt: now, observation }, now)
  }
  const observeResponse = (observation: Observation, now: number): void => {
    const { service, target, fingerprint, latencyMs } = observation
    answeringTargets.record(targetKey(observation), now)
    answeredRequests.record(fingerprint, now)
    if (!losses.has(fingerprint)) return
    losses.clear(fingerprint)
    broadcastReport({ service, target, fingerprint, result: 'answered', latencyMs, agoMs: 0 })
  }

  mesh.subscribe(quarantineChannel, (from, { entries }) => broadcast(addUnknownEntries(entries, clock()), from.vm))
  mesh.subscribe(quarantineReportChannel, (from, body) => {
    const now = clock()
    const { service, target, fingerprint, result, latencyMs } = body
    const endedAt = now - body.agoMs
    if (result === 'answered') {
      answeredRequests.record(fingerprint, endedAt)
      return losses.clear(fingerprint)
    }
    if (wasAnsweredRecently(fingerprint, now)) mesh.send(from.vm, quarantineReportChannel, { ...body, result: 'answered' })
    addLoss({ fingerprint, service, target, result, startedAt: endedAt - latencyMs, endedAt, observation: undefined }, now)
  })

  const sendTableToNewLinks = (now: number): void => {
    const contacts = mesh.contacts()
    const entries = explain(now)
    if (entries.length > 0) {
      for (const { vm, incarnation } of contacts) {
        if (syncedPeers.get(vm) !== incarnation) mesh.send(vm, quarantineChannel, { entries })
      }
    }
    syncedPeers = new Map(contacts.map(({ vm, incarnation }) => [vm, incarnation]))
  }
  return {
    observe: (observation, now) => {
      if (observation.result === 'reset' || observation.result === 'silent') observeLoss(observation, observation.result, now)
      else if (observation.result === 'answered' || observation.result === 'failed') observeResponse(observation, now)
    },
    isQuarantined: (fingerprint, now) => {
      if (losses.has(fingerprint)) quarantineIfCause(fingerprint, now)
      return isQuarantined(fingerprint, now)
    },
    sweep: now => {
      losses.prune(now)
      for (const fingerprint of losses.fingerprints()) quarantineIfCause(fingerprint, now)
      for (const [fingerprint, until] of quarantinedUntil) if (until <= now) quarantinedUntil.delete(fingerprint)
      sendTableToNewLinks(now)
    },
    explain
  }
}

const targetKey = ({ service, target }: Observation): string => `${service}/${target}`
