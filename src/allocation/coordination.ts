/** Coordination of all services on one VM. */
import { Effect } from 'effect'
import type { Log } from '../log/index.js'
import type { Channel, Clock, Configuration, Demand, Mesh, Observation, Peer, Service, Shares } from '../model/index.js'
import type { ServiceContext } from './context.js'
import { LEASE_MS, PAUSE_THRESHOLD_MS, PROPAGATION_MS, TICK_MS } from './durations.js'
import { explainService, type Explanation } from './explain.js'
import { allocationChannel, evidenceReportChannel, leaseGrantChannel, leaseRequestChannel } from './messages.js'
import { createParticipant, type Participant } from './participant.js'
import type { TryConnect } from './restart-detector.js'
import { createShares } from './shares.js'

/** Dependencies of the coordination. */
export interface CoordinationOptions {
  /** Name of this VM. */
  readonly self: string
  readonly incarnation: string
  /** Names of the VMs in the subset of a service, in order of rank. */
  readonly subset: (service: string) => readonly string[]
  readonly configuration: () => Configuration
  readonly mesh: Mesh
  readonly demand: Demand
  /** Connects to a draining target. The default detects no restart, so a drain lasts until its announcement expires. */
  readonly tryConnect?: TryConnect
  readonly log: Log
}

/** Takes part in the coordination of the services of this VM, and provides their shares. */
export interface Coordination {
  readonly shares: Shares
  /** Records the outcome of an attempt as evidence. */
  readonly observe: (observation: Observation, now: number) => void
  /** Retracts observations that a quarantined request caused. */
  readonly retract: (observations: readonly Observation[], now: number) => void
  /** Performs the periodic work. Called every 50 ms. */
  readonly tick: (now: number) => void
  /**
   * Records that a target drains, for example according to the list of the platform. Returns false
   * if this VM does not serve the service.
   */
  readonly drain: (service: string, target: string, now: number) => boolean
  /** Releases all leases because this VM is shutting down. It remains a member, because it still serves requests. */
  readonly leave: (now: number) => void
  /**
   * Explains a service with one of its targets or all of them.
   *
   * @returns undefined if this VM does not serve the service, or the service has no such target
   */
  readonly explain: (service: string, target: string | undefined, now: number) => Explanation | undefined
  /** Calls `tick` at its interval until interrupted. Runs as one fiber per VM. */
  readonly run: (clock: Clock) => Effect.Effect<never>
}

/** Maximum number of unprocessed messages. A VM receives far fewer between two ticks. */
const MAX_INBOX_LENGTH = 10_000

type QueuedMessage = (now: number) => void

/**
 * Creates the coordination of a VM that has just started.
 *
 * Messages are queued until the next call with a time, which checks for a pause of the process
 * first. A message is thus never processed with the state from before a pause.
 *
 * @example
 * const coordination = createCoordination({ self, incarnation, subset, configuration, mesh, demand, log })
 * coordination.observe(observation, now)
 * coordination.shares.limit('holds', 't1', now) // 2
 */
export function createCoordination (options: CoordinationOptions): Coordination {
  const { mesh, log } = options
  const self: Peer = { vm: options.self, incarnation: options.incarnation }
  const participants = new Map<string, Participant>()
  let inbox: QueuedMessage[] = []
  let lastTickAt: number | undefined
  let startedAt = 0
  /** Configured services whose subset did not include this VM. */
  const unservedServices = new Set<string>()
  let lastCallAt = 0
  let isLeaving = false
  let configuration: Configuration | undefined
  let services: ReadonlyMap<string, Service> = new Map()
  let contacts: ReadonlyMap<string, number> = new Map()

  const currentServices = (): ReadonlyMap<string, Service> => {
    const current = options.configuration()
    if (current === configuration) return services
    configuration = current
    services = new Map(current.services.map(service => [service.name, service]))
    return services
  }
  const enqueue = <Body extends { readonly service: string }>(
    handle: (participant: Participant, from: Peer, body: Body, now: number) => void
  ) => (from: Peer, body: Body): void => {
      if (inbox.length >= MAX_INBOX_LENGTH) inbox.shift()
      inbox.push(now => {
        const participant = participants.get(body.service)
        if (participant !== undefined) handle(participant, from, body, now)
      })
    }
  const localHandlers = new Map<string, (from: Peer, body: never) => void>()
  const subscribe = <Body extends { readonly service: string }>(
    channel: Channel<Body>,
    handle: (participant: Participant, from: Peer, body: Body, now: number) => void
  ): void => {
    const handler = enqueue(handle)
    localHandlers.set(channel.kind, handler as (from: Peer, body: never) => void)
    mesh.subscribe(channel, handler)
  }
  subscribe(leaseRequestChannel, (participant, from, body, now) => participant.handleLeaseRequest(from, body, now))
  subscribe(leaseGrantChannel, (participant, from, body, now) => participant.handleLeaseGrant(from, body, now))
  subscribe(evidenceReportChannel, (participant, from, body, now) => participant.handleReport(from, body, now))
  subscribe(allocationChannel, (participant, from, body, now) => participant.handleAllocation(from, body, now))

  const send = <Body>(vm: string, channel: Channel<Body>, body: Body): void => {
    if (vm === self.vm) localHandlers.get(channel.kind)?.(self, body as never)
    else mesh.send(vm, channel, body)
  }
  const contextOf = (name: string, initial: Service): ServiceContext => {
    let members = options.subset(name)
    let membersAt = lastCallAt
    let latest = initial
    return {
      self,
      // A removed service keeps its last configuration until its participant is deleted.
      service: () => { latest = currentServices().get(name) ?? latest; return latest },
      members: () => {
        if (membersAt !== lastCallAt) {
          members = options.subset(name)
          membersAt = lastCallAt
        }
        return members
      },
      demand: options.demand,
      send,
      tryConnect: options.tryConnect ?? (() => Effect.succeed('unknown')),
      hasContact: (vm, now) => now - (contacts.get(vm) ?? -Infinity) < LEASE_MS,
      log
    }
  }
  const updateParticipants = (now: number): void => {
    const current = currentServices()
    for (const [name, service] of current) {
      if (participants.has(name)) continue
      if (!options.subset(name).includes(self.vm)) {
        unservedServices.add(name)
        continue
      }
      // While a VM starts, its view of the subsets is incomplete, so a difference does not indicate a change.
      const isJoining = unservedServices.has(name) && now - startedAt >= PROPAGATION_MS
      const participant = createParticipant(contextOf(name, service), now, isJoining)
      if (isLeaving) participant.resign(Infinity, now)
      participants.set(name, participant)
    }
    for (const name of unservedServices) if (!current.has(name)) unservedServices.delete(name)
    for (const [name, participant] of participants) {
      if (current.has(name)) continue
      participant.resign(Infinity, now)
      participants.delete(name)
    }
  }
  const processInbox = (now: number): void => {
    while (inbox.length > 0) {
      const messages = inbox
      inbox = []
      for (const handle of messages) handle(now)
    }
  }
  /** Checks for a pause and processes queued messages. Every public function calls this first. */
  const advance = (now: number): void => {
    lastCallAt = now
    if (lastTickAt === undefined) {
      lastTickAt = now
      startedAt = now
      updateParticipants(now)
    }
    if (now - lastTickAt > PAUSE_THRESHOLD_MS + TICK_MS) {
      log.warn('process.paused', { forMs: Math.round(now - lastTickAt) })
      lastTickAt = now
      for (const participant of participants.values()) participant.resetAfterPause(now)
    }
    processInbox(now)
  }
  const find = (service: string, now: number): Participant | undefined => {
    advance(now)
    return currentServices().has(service) ? participants.get(service) : undefined
  }
  const tick = (now: number): void => {
    advance(now)
    lastTickAt = now
    contacts = new Map(mesh.contacts().map(({ vm, lastEchoAt }) => [vm, lastEchoAt]))
    updateParticipants(now)
    for (const participant of participants.values()) participant.tick(now)
    processInbox(now)
  }
  return {
    shares: createShares((service, now) => find(service, now)?.shares),
    observe: (observation, now) => find(observation.service, now)?.observe(observation, now),
    retract: (observations, now) => {
      for (const service of new Set(observations.map(observation => observation.service))) {
        find(service, now)?.retract(observations.filter(observation => observation.service === service))
      }
    },
    tick,
    drain: (service, target, now) => {
      const participant = find(service, now)
      participant?.drain(target, now)
      return participant !== undefined
    },
    leave: now => {
      advance(now)
      isLeaving = true
      for (const participant of participants.values()) participant.resign(Infinity, now)
    },
    explain: (service, target, now) => {
      const participant = find(service, now)
      const isKnown = target === undefined || participant?.context.service().targets.some(({ id }) => id === target) === true
      return participant === undefined || !isKnown ? undefined : explainService(participant, target, now)
    },
    run: clock => Effect.forever(Effect.andThen(Effect.sync(() => tick(clock())), Effect.sleep(TICK_MS)))
  }
}
