/** Responses of the operator API of an entry VM. */
import { Effect } from 'effect'
import type { Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { AcceptedNote, Clock, Configuration } from '../model/index.js'
import { checkNote, parseNote } from '../notes/index.js'
import type { Endpoints, RecentRequests } from '../operators/index.js'
import type { Settings } from '../settings/index.js'
import type { UsableConfiguration } from '../spread/index.js'
import type { FleetComponents } from './fleet-components.js'
import type { ServingComponents } from './serving-components.js'

/** Dependencies of the operator endpoints. */
export interface OperatorEndpointOptions {
  readonly settings: Settings
  readonly fleet: FleetComponents
  readonly serving: ServingComponents
  readonly recentRequests: RecentRequests
  readonly renderMetrics: (now: number) => string
  readonly clock: Clock
  readonly startedAt: number
}

type Json = Readonly<Record<string, unknown>>

function toEffect<A> (result: Result<A, Refusal>): Effect.Effect<A, Refusal> {
  return result.match(value => Effect.succeed(value), refused => Effect.fail(refused))
}

function summarizeNote (accepted: AcceptedNote): Json {
  const { note, revision, acceptedAt, acceptedBy } = accepted
  const count = (part: { services: readonly unknown[], targets: readonly unknown[], routes: readonly unknown[] }): number =>
    part.services.length + part.targets.length + part.routes.length
  return {
    revision,
    id: note.id,
    acceptedAt: new Date(acceptedAt).toISOString(),
    acceptedBy,
    added: count(note.added),
    changed: count(note.changed),
    withdrawn: count(note.withdrawn)
  }
}

/** Lists the services, routes and targets that this VM does not use because an undecided note may change them. */
function describeWithheld ({ configuration, withheldServices, withheldRoutes }: UsableConfiguration, replicated: Configuration): Json {
  const used = new Map(configuration.services.map(({ name, targets }) => [name, new Set(targets.map(({ id }) => id))]))
  const targets = configuration === replicated
    ? []
    : replicated.services.flatMap(({ name, targets }) => targets.filter(({ id }) => used.get(name)?.has(id) === false).map(({ id }) => `${name}/${id}`))
  return { services: [...withheldServices], routes: [...new Set(withheldRoutes.map(({ id }) => id))], targets }
}

function describeState (options: OperatorEndpointOptions): Json {
  const { settings, fleet, serving, clock, startedAt } = options
  const { replica, membership, mesh, subsets } = fleet
  const now = clock()
  const stale = replica.servingRefusal(now)
  const confirmedAt = replica.confirmedAt(now)
  return {
    vm: settings.vm.name,
    place: settings.vm.place,
    incarnation: fleet.incarnation,
    uptimeMs: Math.round(now - startedAt),
    serving: stale === undefined ? 'yes' : stale.detail,
    configuration: {
      revision: replica.current().revision,
      heardRevision: replica.knownRevision(),
      undecided: replica.undecided().map(({ note, revision, acceptedBy }) => ({ note: note.id, revision, by: acceptedBy })),
      withheld: describeWithheld(replica.usable(now), replica.current()),
      confirmedMsAgo: Number.isFinite(confirmedAt) ? Math.round(now - confirmedAt) : 'never',
      majorityContact: membership.hasMajorityContact(now)
    },
    members: membership.members(now).map(({ vm, state, incarnation }) => ({ vm: vm.name, place: vm.place, state, incarnation })),
    contacts: mesh.contacts().map(({ vm, lastEchoAt, roundTripMs }) => ({
      vm, lastEchoMsAgo: Math.round(now - lastEchoAt), roundTripMs: Number(roundTripMs.toFixed(2))
    })),
    services: replica.current().services.map(service => ({
      service: service.name,
      targets: service.targets.length,
      floor: service.floor,
      subset: subsets.of(service.name).map(vm => vm.name).join(' ')
    })),
    entry: serving.entry.state(),
    controlTraffic: mesh.traffic()
  }
}

/** Explains this VM's view of a service or of one of its targets. */
function explain (options: OperatorEndpointOptions, service: string, target: string | undefined): Effect.Effect<Json, Refusal> {
  const { settings, fleet, serving, clock } = options
  const now = clock()
  const configured = fleet.replica.current().services.find(({ name }) => name === service)
  const isKnown = configured !== undefined && (target === undefined || configured.targets.some(({ id }) => id === target))
  if (!isKnown) return Effect.fail(refusal('not-found', `${service}${target === undefined ? '' : ` ${target}`}`))
  const subset = fleet.subsets.of(service).map(vm => vm.name)
  if (!subset.includes(settings.vm.name)) {
    return Effect.succeed({ service, target, subset, hint: 'this VM does not serve the service; query a VM of the subset' })
  }
  return Effect.succeed({
    vm: settings.vm.name,
    subset,
    decisions: serving.coordination.explain(service, target, now),
    use: serving.admission.explain(service, now),
    retryTokens: serving.retryTokens(service)
  })
}

/** Finds an accepted note by id, first in the replica, then in the platform's table. */
function findNote (options: OperatorEndpointOptions, id: string): Effect.Effect<AcceptedNote, Refusal> {
  const { replica, registry } = options.fleet
  const replicated = replica.notes().find(({ note }) => note.id === id)
  if (replicated !== undefined) return Effect.succeed(replicated)
  const oldestRevision = replica.notes()[0]?.revision ?? replica.current().revision + 1
  return registry.readNotes(1, oldestRevision - 1).pipe(
    Effect.mapError(failure => refusal('platform-unavailable', failure.detail)),
    Effect.flatMap(notes => {
      const found = notes.find(({ note }) => note.id === id)
      return found === undefined ? Effect.fail(refusal('not-found', `no accepted note with id ${id}`)) : Effect.succeed(found)
    })
  )
}

/** Creates the endpoints of the operator API. */
export function createOperatorEndpoints (options: OperatorEndpointOptions): Endpoints {
  const { fleet, serving, recentRequests, clock, renderMetrics } = options
  const { replica, registry } = fleet
  return {
    state: () => Effect.sync(() => describeState(options)),
    configuration: () => Effect.sync(() => replica.current()),
    listNotes: () => Effect.sync(() => replica.notes().map(summarizeNote)),
    showNote: id => findNote(options, id),
    checkNote: text => toEffect(parseNote(text)
      .andThen(note => checkNote(replica.current(), replica.notes(), note))
      .map(configuration => ({ fits: true, revision: replica.current().revision, services: configuration.services.length }))),
    submitNote: text => Effect.gen(function * () {
      const note = yield * toEffect(parseNote(text))
      return summarizeNote(yield * registry.submit(note))
    }),
    explainService: service => explain(options, service, undefined),
    explainTarget: (service, target) => explain(options, service, target),
    explainRequest: requestId => {
      const found = recentRequests.find(requestId)
      if (found === undefined) return Effect.fail(refusal('not-found', `this VM has no record of a refused request ${requestId}`))
      const configured = replica.current().services.find(({ name }) => name === found.service)
      return Effect.succeed({
        ...found,
        at: new Date(found.at).toISOString(),
        now: configured === undefined ? undefined : serving.coordination.explain(configured.name, undefined, clock())
      })
    },
    metrics: () => Effect.sync(() => renderMetrics(clock()))
  }
}
