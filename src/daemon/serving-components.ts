/** Components that serve callers: coordination of targets, admission, quarantine, claims and the entry. */
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
import type { FleetComponents } from './fleet-components.js'
import { tryConnect } from './try-connect.js'
import { createConfigurationView } from './configuration-view.js'

/** Components of a VM that serve callers. */
export interface ServingComponents {
  readonly coordination: Coordination
  readonly admission: AdmissionControl
  readonly quarantine: Quarantine
  readonly claims: DrainableClaims
  readonly entry: Entry
  /** Number of tokens in this VM's retry budget of the service. */
  readonly retryTokens: (service: string) => number
}

/** Settings and dependencies of the serving components. */
export interface ServingOptions {
  readonly settings: Settings
  readonly fleet: FleetComponents
  readonly platform: Platform
  /** Receives one record for each finished request. */
  readonly recordRequest: (request: FinishedRequest) => void
  /** Receives the outcome of each attempt at a target. */
  readonly recordObservation: (observation: Observation) => void
  readonly log: Log
  readonly clock: Clock
}

function createRetryBudgetLookup (): (service: string) => RetryBudget {
  const budgets = new Map<string, RetryBudget>()
  return service => {
    const budget = budgets.get(service) ?? createRetryBudget()
    budgets.set(service, budget)
    return budget
  }
}

/** Creates the serving components of a VM without starting them. */
export function createServingComponents (options: ServingOptions): ServingComponents {
  const { settings, fleet, platform, log, clock } = options
  const { replica, subsets, membership, mesh } = fleet
  const self = settings.vm.name
  const configuration = (): Configuration => replica.current()
  const configurationView = createConfigurationView(replica)
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
    configuration: () => configurationView.admissionConfiguration(clock()),
    shares: coordination.shares,
    zone: settings.vm.place,
    observe: (observation, now) => {
      coordination.observe(observation, now)
      quarantine.observe(observation, now)
      options.recordObservation(observation)
    },
    random: Math.random,
    clock
  })
  /** Counts the VMs that may write claims: those in the subset of a service with a non-idempotent class. */
  const countWriters = (): number => new Set(configuration().services
    .filter(({ classes }) => classes.some(({ idempotent }) => !idempotent))
    .flatMap(({ name }) => subsetNames(name))).size
  const claims = createClaims({ platform, log, vm: self, writers: countWriters, clock })
  const retryBudgetOf = createRetryBudgetLookup()

  /**
   * Member states for address responses. Without contact with a majority, this VM is probably the one
   * that is partitioned, so it treats suspected VMs as live. While it refuses requests, it excludes
   * itself: callers cache the addresses for seconds, and every retry would come back to this VM.
   */
  const membersForAddresses = (now: number): readonly Member[] => {
    const isSuspicionReliable = membership.hasMajorityContact(now)
    const isRefusing = replica.servingRefusal(now) !== undefined
    return membership.members(now).map(member => {
      if (member.vm.name === self) return isRefusing ? { ...member, state: 'suspect' } : member
      return member.state === 'suspect' && !isSuspicionReliable ? { ...member, state: 'live' } : member
    })
  }
  const resolveAddresses = (service: string, callerAddress: string, zone: string | undefined, now: number): ReturnType<typeof listAddresses> =>
    listAddresses({ service, zone }, subsets.of(service), membersForAddresses(now), callerAddress)
  /** The refusal of a VM outside the subset, with the addresses of the VMs that serve the service. */
  const refuseNotServed = (service: string, now: number): Refusal => {
    const addresses = resolveAddresses(service, self, settings.vm.place, now)
    return refusal('not-served-here', service, { extra: addresses.isOk() ? { ...addresses.value } : {} })
  }
  const refuseUnlessServed = (service: string, now: number): Refusal | undefined =>
    replica.servingRefusal(now) ?? configurationView.checkWithheld(service, now) ?? (subsetNames(service).includes(self) ? undefined : refuseNotServed(service, now))

  const entry = createEntry({
    resolve: (host, path, method) => {
      // While the configuration is stale, a route that is unknown to this VM may exist.
      const now = clock()
      const stale = replica.servingRefusal(now)
      return stale === undefined ? configurationView.findRoute(host, path, method, now) : err(stale)
    },
    checkServing: refuseUnlessServed,
    isQuarantined: quarantine.isQuarantined,
    admission,
    claims,
    takeRetryToken: service => retryBudgetOf(service).tryWithdraw(),
    earnRetryToken: service => retryBudgetOf(service).deposit(),
    resolveAddresses: (query, callerAddress, now) =>
      resolveAddresses(query.get('service') ?? '', callerAddress, query.get('place') ?? undefined, now),
    connectionLimit: coordination.shares.connectionLimit,
    medianLatencyMs: admission.medianLatencyMs,
    observe: options.recordRequest,
    log,
    clock,
    limits: { ...settings.limits, stopLimitMs: settings.stopLimitMs }
  })
  return { coordination, admission, quarantine, claims, entry, retryTokens: service => retryBudgetOf(service).tokens() }
}
