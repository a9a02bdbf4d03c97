/** Runs a fleet of real programs under load and judges what callers and targets saw. */
import { setTimeout as sleep } from 'node:timers/promises'
import * as assert from 'uvu/assert'
import type { VM } from '../../src/model/index.js'
import { findViolations, runLoad, type LoadPlan, type Report } from '../../stand-ins/caller/index.js'
import { startFleet, type RunningFleet } from '../../trial/fleet.js'
import { firstNote, planFleet, type Layout, type Patience } from '../../trial/layout.js'
import { watchFleet } from '../../trial/observer.js'
import { reserveNetwork } from '../../trial/network.js'
import { submitNote } from '../../trial/submit.js'
import { decisionsOf, until } from './fleet-state.js'
import { LISTEN_PEERS_PORT, openPeerRelays, type PeerRelays } from './peer-relays.js'

const SEED = 4711
/** Coordinators need a lease, which a VM that just started grants only after 2 s; the rest is for a busy machine. */
const SETTLE_LIMIT_MS = 20_000
/** The patience of the test; the settings allow 610 s. */
const STOP_LIMIT_MS = 60_000
/** Load after the last disturbance: longer than a lease, so that a wrong takeover would show. */
const TAIL_MS = 2500

/** What callers and targets saw of a load. */
export interface Outcome {
  readonly reports: readonly Report[]
  readonly doubleRuns: readonly string[]
  readonly untruthfulRefusals: readonly string[]
  readonly answeredWithoutRun: readonly string[]
  readonly wrong: readonly unknown[]
  readonly lost: readonly string[]
  readonly floorBreaches: number
  readonly secondCoordinators: number
  readonly ejected: readonly string[]
  readonly answeredShare: number
  /** Whether the machine stopped a VM or the callers for so long that a limit of the design passed. */
  readonly hasStalled: boolean
}

interface LoadLimits extends Pick<LoadPlan, 'durationMs' | 'until' | 'attempts'> {
  readonly deadlineMs: number | undefined
}

function plansOf (fleet: RunningFleet, { deadlineMs, ...limits }: LoadLimits): readonly LoadPlan[] {
  const common = { contacts: fleet.layout.vms.map(vm => vm.callers), place: 'riga-a', host: 'test.example', ...limits }
  const read = { name: 'read', weight: 2, method: 'GET', idempotent: true, key: false, bodyBytes: 0, responseBytes: 500, deadlineMs: deadlineMs ?? 2000 }
  const place = { name: 'place', weight: 1, method: 'POST', path: '/holds', idempotent: false, key: true, bodyBytes: 100, responseBytes: 100, deadlineMs: deadlineMs ?? 3000 }
  return [
    { ...common, service: 'listing', ratePerSecond: 60, seed: SEED, kinds: [{ ...read, path: '/listing' }] },
    { ...common, service: 'holds', ratePerSecond: 40, seed: SEED + 1, kinds: [{ ...read, path: '/holds/1' }, place] }
  ]
}

/** The part of the 1 s that a stopping VM serves longer than callers keep its address, which may be used up here. */
const STALL_MS = 500
const STALL_SAMPLE_MS = 50

/** Measures how late a timer of this process fires; the callers run in it. */
function watchStalls (): { readonly longestMs: () => number, readonly stop: () => void } {
  let longestMs = 0
  let last = performance.now()
  const timer = setInterval(() => {
    const now = performance.now()
    longestMs = Math.max(longestMs, now - last - STALL_SAMPLE_MS)
    last = now
  }, STALL_SAMPLE_MS).unref()
  return { longestMs: () => longestMs, stop: () => clearInterval(timer) }
}

/** How patient the callers are. */
export interface LoadOptions {
  /** Attempts of each request; with more than one, the caller covers up what one attempt meets. Default: 3. */
  readonly attempts?: number
  /** Default: 2000 for reads, 3000 for placements. */
  readonly deadlineMs?: number
}

/**
 * Limits far beyond the time that a request takes, for tests in which nothing but a fault of the
 * fleet may keep a request from its answer: a busy machine delays requests beyond the usual limits.
 */
export const PATIENT = { deadlineMs: 10_000, queueAgeMs: 5000 } as const

/**
 * Sends the load while `disturb` runs, and for a little longer, so that what it leaves behind is seen.
 *
 * @param limitMs longest time of the load; a disturbance that takes longer would go on without load
 */
export async function runUnderLoad (
  fleet: RunningFleet, limitMs: number, disturb: () => Promise<void>, { attempts = 3, deadlineMs }: LoadOptions = {}
): Promise<Outcome> {
  const ending = new AbortController()
  const stalls = watchStalls()
  const plans = plansOf(fleet, { durationMs: limitMs, until: ending.signal, attempts, deadlineMs })
  const watch = watchFleet(fleet, ['listing', 'holds'])
  const loads = Promise.all(plans.map(runLoad))
  const disturbed = disturb().then(() => sleep(TAIL_MS)).finally(() => ending.abort())
  // Also after a failure, the watch and the callers end before the next fleet takes over the addresses:
  // late requests would run there under the tokens of its own.
  const findings = await Promise.allSettled([loads, disturbed]).then(watch.stop)
  await disturbed
  const reports = await loads
  stalls.stop()
  const targets = [...fleet.layout.targets.listing, ...fleet.layout.targets.holds]
  const tallies = await Promise.all(targets.map(async target => await fleet.tally(target.id)))
  const verdicts = reports.map(report => findViolations(report, tallies))
  const sent = reports.reduce((sum, report) => sum + report.sent, 0)
  return {
    reports,
    doubleRuns: verdicts.flatMap(verdict => verdict.doubleRuns),
    untruthfulRefusals: verdicts.flatMap(verdict => verdict.untruthfulRefusals),
    answeredWithoutRun: verdicts.flatMap(verdict => verdict.answeredWithoutRun),
    wrong: reports.flatMap(report => report.wrong),
    lost: reports.flatMap(report => Object.entries(report.lost).map(([kind, count]) => `${kind}: ${count}`)),
    floorBreaches: findings.floorBreaches,
    secondCoordinators: findings.secondCoordinators,
    ejected: [...findings.ejected],
    hasStalled: stalls.longestMs() > STALL_MS || fleet.started.some(({ lines }) => lines.some(({ event }) => event === 'process.paused')),
    answeredShare: reports.reduce((sum, report) => sum + report.answered, 0) / sent
  }
}

/** A VM that was paused has to refuse until it has a new echo; a caller that was may use an address too long. */
const AFTER_STALL: ReadonlySet<string> = new Set(['configuration-stale not-run', 'ECONNREFUSED not-run'])

/**
 * How the requests ended that were not answered, without those that a stall of the machine explains.
 */
export function unanswered (outcome: Outcome, isIdempotent: boolean): readonly string[] {
  const requests = outcome.reports.flatMap(report => report.requests).filter(({ idempotent }) => idempotent === isIdempotent)
  return requests.map(({ outcome: end }) => {
    if (end.kind === 'refused') return `${end.reason} ${end.run}`
    return end.kind === 'lost' ? `${end.error} ${end.run}` : end.kind
  }).filter(end => end !== 'answered' && !(outcome.hasStalled && AFTER_STALL.has(end)))
}

/** What must hold whatever fails. */
export function assertTruthful (outcome: Outcome): void {
  assert.equal(outcome.doubleRuns, [], 'double runs')
  assert.equal(outcome.untruthfulRefusals, [], 'requests that ran although they were refused as not run')
  assert.equal(outcome.answeredWithoutRun, [], 'answers without a run')
  assert.equal(outcome.wrong, [], 'wrong answers')
  assert.is(outcome.floorBreaches, 0, 'floor breaches')
  assert.is(outcome.secondCoordinators, 0, 'samples with two coordinators of one service')
}

const SIZES = { listingTargets: 9, holdsTargets: 6 }

async function isSettled (fleet: RunningFleet): Promise<boolean> {
  const views = await Promise.all(['listing', 'holds'].map(async service => await decisionsOf(fleet, service)))
  return views.every(view => view.some(decisions => decisions?.leads === true)) &&
    views.flat().every(decisions => decisions === undefined || decisions.allocation !== undefined)
}

async function runFleet (layout: Layout, patience: Patience, run: (fleet: RunningFleet) => Promise<void>): Promise<void> {
  const fleet = await startFleet(layout, { listing: 15, holds: 15 })
  try {
    await submitNote(fleet, firstNote(layout, patience))
    await until('a coordinator of each service that all VMs follow', SETTLE_LIMIT_MS, async () => await isSettled(fleet))
    await run(fleet)
  } finally {
    await fleet.kill()
  }
}

/** Starts a fleet with two services and ends it afterwards. */
export async function withFleet (vms: number, run: (fleet: RunningFleet) => Promise<void>, patience: Patience = {}): Promise<void> {
  await runFleet(planFleet(await reserveNetwork(), { ...SIZES, vms }), patience, run)
}

/** A patient fleet with relays between the VMs, which can cut each direction of each link. */
export async function withRelayedFleet (vms: number, run: (fleet: RunningFleet, relays: PeerRelays) => Promise<void>): Promise<void> {
  const layout = planFleet(await reserveNetwork(), { ...SIZES, vms, listenPeersPort: LISTEN_PEERS_PORT })
  const relays = await openPeerRelays(layout.vms)
  try {
    await runFleet(layout, PATIENT, async fleet => await run(fleet, relays))
  } finally {
    await relays.close()
  }
}

/** VM of the layout, counted from 0. */
export function vmOf (fleet: RunningFleet, index: number): VM {
  const vm = fleet.layout.vms[index]
  if (vm === undefined) throw new Error(`the layout has no VM ${index}`)
  return vm
}

/** Stops a VM gracefully and starts its replacement under the same name. */
export async function replaceVM (fleet: RunningFleet, vm: VM): Promise<void> {
  const program = fleet.vms.get(vm.name)
  program?.signal('SIGTERM')
  const code = await Promise.race([program?.ended, sleep(STOP_LIMIT_MS, 'still running')])
  assert.is(code, 0, `${vm.name} ended with ${String(code)}`)
  await fleet.startVM(vm)
}
