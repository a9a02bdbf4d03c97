/** The caller-facing side of a VM: decisions about targets and the entry. */
import { err } from 'neverthrow'
import { createAdmission, createRetryBudget, type AdmissionControl, type RetryBudget } from '../admission/index.js'
import { createCoordination, type Coordination } from '../allocation/index.js'
import { createClaims, type DrainableClaims } from '../claims/index.js'
import { createEntry, type Entry, type FinishedRequest } from '../entry/index.js'
import { refusal, type Refusal } from '../errors/index.js'
import type { Log } from '../log/index.js'
import type { Clock, Configuration, Member, Observation, Platform } from '../model/index.js'
import { createQuarantine, type Quarantine } from '../quarantine/index.js'
import { listAddresses } from '../routing/index.js'
import type { Settings } from '../settings/index.js'
import type { Fleet } from './fleet.js'
import { tryConnect } from './try-connect.js'
import { createUsage } from './usage.js'

/** The parts that serve callers. */
export interface Serving {
  readonly coordination: Coordination
  readonly admission: AdmissionControl
  readonly quarantine: Quarantine
  readonly claims: DrainableClaims
  readonly entry: Entry
  /** Retry tokens that the service holds at this VM. */
  readonly retryTokens: (service: string) => number
}

/** What the parts that serve callers depend on. */
export interface ServingOptions {
  readonly settings: Settings
  readonly fleet: Fleet
  readonly platform: Platform
  /** Receives one record for each finished request. */
  readonly finished: (request: FinishedRequest) => void
  /** Receives the outcome of each attempt at a target. */
  readonly observed: (observation: Observation) => void
  readonly log: Log
  readonly clock: Clock
}

function createBudgets (): (service: string) => RetryBudget {
  const budgets = new Map<string, RetryBudget>()
  return service => {
    const budget = budgets.get(service) ?? createRetryBudget()
    budgets.set(service, budget)
    return budget
  }
}

/** Creates the parts that serve callers. Nothing runs yet. */
export function createServing (options: ServingOptions): Serving {
  const { settings, fleet, platform, log, clock } = options
  const { replica, subsets, membership, mesh } = fleet
  const self = settings.vm.name
  const configuration = (): Configuration => replica.current()
  const usage = createUsage(replica)
  const subsetNames = (service: string): readonly string[] => subsets.of(service).map(vm => vm.name)

  const coordination: Coordination = createCoordination({
    self,
    incarnation: fleet.incarnation,
    subset: subsetNames,
    configuration,
    mesh,
    demand: { inUse: (service, target) => admission.inUse(service, target), waiting: service => admission.waiting(service) },
    tryConnect,
    log
  })
  const quarantine = createQuarantine({
    mesh, log, clock, members: subsetNames, retractObservations: (observations, now) => coordination.retract(observations, now)
  })
  const admission: AdmissionControl = createAdmission({
    configuration: () => usage.admission(clock()),
    shares: coordination.shares,
    zone: settings.vm.place,
    observe: (observation, now) => {
      coordination.observe(observation, now)
      quarantine.observe(observation, now)
      options.observed(observation)
    },
    random: Math.random,
    clock
  })
  /** VMs of the subsets whose services have requests that need claims. */
  const countWriters = (): number => new Set(configuration().services
    .filter(({ classes }) => classes.some(({ idempotent }) => !idempotent))
    .flatMap(({ name }) => subsetNames(name))).size
  const claims = createClaims({ platform, log, vm: self, writers: countWriters, clock })
  const budgetOf = createBudgets()

  /**
   * The members as address answers use them. Without contact with a majority, this VM is probably the
   * one that is cut off, so it goes on naming VMs that it suspects. While it refuses requests, it does
   * not name itself: its answers are kept for seconds, and every retry would come back to it.
   */
  const membersForCallers = (now: number): readonly Member[] => {
    const trustsSuspicion = membership.hasMajorityContact(now)
    const refuses = replica.serving(now) !== undefined
    return membership.members(now).map(member => {
      if (member.vm.name === self) return refuses ? { ...member, state: 'suspect' } : member
      return member.state === 'suspect' && !trustsSuspicion ? { ...member, state: 'live' } : member
    })
  }
  const addressesFor = (service: string, callerAddress: string, zone: string | undefined, now: number): ReturnType<typeof listAddresses> =>
    listAddresses({ service, zone }, subsets.of(service), membersForCallers(now), callerAddress)
  /** The refusal of a VM outside the subset carries the addresses to use. */
  const refuseElsewhere = (service: string, now: number): Refusal => {
    const answer = addressesFor(service, self, settings.vm.place, now)
    return refusal('not-served-here', service, { extra: answer.isOk() ? { ...answer.value } : {} })
  }
  const serves = (service: string, now: number): Refusal | undefined =>
    replica.serving(now) ?? usage.withheld(service, now) ?? (subsetNames(service).includes(self) ? undefined : refuseElsewhere(service, now))

  const entry = createEntry({
    resolve: (host, path, method) => {
      // Without a confirmed configuration, an unknown route may exist elsewhere.
      const now = clock()
      const stale = replica.serving(now)
      return stale === undefined ? usage.find(host, path, method, now) : err(stale)
    },
    checkServing: serves,
    isQuarantined: quarantine.isQuarantined,
    admission,
    claims,
    takeRetryToken: service => budgetOf(service).tryWithdraw(),
    earnRetryToken: service => budgetOf(service).deposit(),
    resolveAddresses: (query, callerAddress, now) =>
      addressesFor(query.get('service') ?? '', callerAddress, query.get('place') ?? undefined, now),
    connectionLimit: coordination.shares.connectionLimit,
    medianLatencyMs: admission.medianLatencyMs,
    observe: options.finished,
    log,
    clock,
    limits: { ...settings.limits, stopLimitMs: settings.stopLimitMs }
  })
  return { coordination, admission, quarantine, claims, entry, retryTokens: service => budgetOf(service).tokens() }
}
