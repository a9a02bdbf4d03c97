/** Applies the entries of a note to a configuration. */
import { err, ok, type Result } from 'neverthrow'
import type { Configuration, Note, ServiceTarget, Route, Service, Target } from '../model/index.js'
import { listEntries, routeKey, serviceKey, targetKey, type NamedEntry } from './entries.js'
import { showValue, type Mistake } from '../schema/index.js'

/**
 * Returns the keys of the services, targets and routes that exist in the configuration, limited to the services
 * and routes that the note names. Keys for all entries would be too costly, because every VM applies every note.
 */
function listExistingKeys (configuration: Configuration, entries: readonly NamedEntry[]): ReadonlySet<string> {
  const names = new Set(entries.flatMap(({ service }) => service ?? []))
  const ids = new Set(entries.flatMap(({ kind, id }) => kind === 'route' ? id : []))
  const services = configuration.services.filter(({ name }) => names.has(name))
  const routes = ids.size === 0 ? [] : configuration.routes.filter(({ id }) => ids.has(id))
  return new Set([
    ...services.flatMap(({ name, targets }) => [serviceKey(name), ...targets.map(({ id }) => targetKey(name, id))]),
    ...routes.map(({ id }) => routeKey(id))
  ])
}

/** Returns a mistake for each entry that is added although it exists, or changed or withdrawn although it does not. */
function findInvalidActions (configuration: Configuration, note: Note): readonly Mistake[] {
  const entries = listEntries(note)
  const existing = listExistingKeys(configuration, entries)
  const added = new Set(note.added.services.map(({ name }) => serviceKey(name)))
  const check = ({ action, kind, key, path, service }: NamedEntry): readonly Mistake[] => {
    const serviceEntryKey = serviceKey(service ?? '')
    if (kind === 'target' && !existing.has(serviceEntryKey) && !added.has(serviceEntryKey)) {
      return [{ path, found: showValue(service), allowed: 'a service that exists' }]
    }
    if (existing.has(key) === (action !== 'added')) return []
    return [{ path, found: showValue(key), allowed: action === 'added' ? 'an entry that does not exist yet' : 'an entry that exists' }]
  }
  return entries.flatMap(check)
}

/** Removes and replaces entries without changing the order of the others, and appends the new ones. */
function applyToList<Entry> (
  list: readonly Entry[],
  keyOf: (entry: Entry) => string,
  changes: { readonly withdrawn: readonly string[], readonly changed: readonly Entry[], readonly added: readonly Entry[] }
): readonly Entry[] {
  const withdrawn = new Set(changes.withdrawn)
  const changed = new Map(changes.changed.map(entry => [keyOf(entry), entry]))
  const kept = withdrawn.size === 0 ? list : list.filter(entry => !withdrawn.has(keyOf(entry)))
  const replaced = changed.size === 0 ? kept : kept.map(entry => changed.get(keyOf(entry)) ?? entry)
  return changes.added.length === 0 ? replaced : [...replaced, ...changes.added]
}

function applyToTargets (service: Service, note: Note): Service {
  const belongsToService = (entry: { readonly service: string }): boolean => entry.service === service.name
  const select = (serviceTargets: readonly ServiceTarget[]): readonly Target[] => serviceTargets.filter(belongsToService).map(({ target }) => target)
  return {
    ...service,
    targets: applyToList(service.targets, ({ id }) => id, {
      withdrawn: note.withdrawn.targets.filter(belongsToService).map(({ id }) => id),
      changed: select(note.changed.targets),
      added: select(note.added.targets)
    })
  }
}

function applyToServices (services: readonly Service[], note: Note): readonly Service[] {
  const changedServices = new Map(note.changed.services.map(service => [service.name, service]))
  const affectedServices = new Set([...note.added.targets, ...note.changed.targets, ...note.withdrawn.targets].map(({ service }) => service))
  const updated = applyToList(services, ({ name }) => name, {
    withdrawn: note.withdrawn.services,
    // A changed service keeps its targets, because targets are separate entries.
    changed: services.flatMap(({ name, targets }) => {
      const changedService = changedServices.get(name)
      return changedService === undefined ? [] : { ...changedService, targets }
    }),
    added: note.added.services
  })
  return affectedServices.size === 0 ? updated : updated.map(service => affectedServices.has(service.name) ? applyToTargets(service, note) : service)
}

/** Routes of a withdrawn service are removed with it, unless the note moves them to another service. */
function applyToRoutes (routes: readonly Route[], note: Note): readonly Route[] {
  const { added, changed, withdrawn } = note
  const withdrawnServices = new Set(withdrawn.services)
  const changedRoutes = new Set(changed.routes.map(({ id }) => id))
  const routesOfWithdrawn = withdrawnServices.size === 0 ? [] : routes.filter(({ id, service }) => withdrawnServices.has(service) && !changedRoutes.has(id)).map(({ id }) => id)
  return applyToList(routes, ({ id }) => id, {
    withdrawn: [...withdrawn.routes, ...routesOfWithdrawn],
    changed: changed.routes,
    added: added.routes
  })
}

/**
 * Returns the configuration of the next revision, with the note applied. The function is pure: the same
 * configuration and note give the same result at every VM, including the order of the entries.
 */
export function applyEntries (configuration: Configuration, note: Note): Result<Configuration, readonly Mistake[]> {
  const mistakes = findInvalidActions(configuration, note)
  if (mistakes.length > 0) return err(mistakes)
  return ok({
    revision: configuration.revision + 1,
    services: applyToServices(configuration.services, note),
    routes: applyToRoutes(configuration.routes, note)
  })
}
