/** Entries that a note names: services, targets and routes. */
import type { Note } from '../model/index.js'

/** Action of a note on an entry. */
export type Action = 'added' | 'changed' | 'withdrawn'

/** One entry that a note names. */
export interface NamedEntry {
  readonly action: Action
  readonly kind: 'service' | 'target' | 'route'
  /** Name of the service, or id of the target or route. */
  readonly id: string
  /** Unique among the entries of a configuration. Example: `target:holds/holds-1`. */
  readonly key: string
  /** Path of the entry in the note. Example: `added.targets[0]`. */
  readonly path: string
  /** Name of the service itself, or of the service of the target or route; undefined for a withdrawn route. */
  readonly service: string | undefined
}

/** Key of a service entry. */
export const serviceKey = (name: string): string => `service:${name}`
/** Key of a target entry. */
export const targetKey = (service: string, id: string): string => `target:${service}/${id}`
/** Key of a route entry. */
export const routeKey = (id: string): string => `route:${id}`

function listAddedOrChanged (note: Note, action: 'added' | 'changed'): readonly NamedEntry[] {
  const { services, targets, routes } = note[action]
  return [
    ...services.flatMap(({ name, targets }, i): readonly NamedEntry[] => [
      { action, kind: 'service', id: name, key: serviceKey(name), path: `${action}.services[${i}]`, service: name },
      ...targets.map(({ id }, j): NamedEntry => (
        { action, kind: 'target', id, key: targetKey(name, id), path: `${action}.services[${i}].targets[${j}]`, service: name }))
    ]),
    ...targets.map(({ service, target }, i): NamedEntry => (
      { action, kind: 'target', id: target.id, key: targetKey(service, target.id), path: `${action}.targets[${i}]`, service })),
    ...routes.map(({ id, service }, i): NamedEntry => (
      { action, kind: 'route', id, key: routeKey(id), path: `${action}.routes[${i}]`, service }))
  ]
}

function listWithdrawn ({ withdrawn }: Note): readonly NamedEntry[] {
  const action = 'withdrawn'
  return [
    ...withdrawn.services.map((name, i): NamedEntry => (
      { action, kind: 'service', id: name, key: serviceKey(name), path: `withdrawn.services[${i}]`, service: name })),
    ...withdrawn.targets.map(({ service, id }, i): NamedEntry => (
      { action, kind: 'target', id, key: targetKey(service, id), path: `withdrawn.targets[${i}]`, service })),
    ...withdrawn.routes.map((id, i): NamedEntry => (
      { action, kind: 'route', id, key: routeKey(id), path: `withdrawn.routes[${i}]`, service: undefined }))
  ]
}

/** Lists every entry that a note names, in the order of the note. */
export function listEntries (note: Note): readonly NamedEntry[] {
  return [...listAddedOrChanged(note, 'added'), ...listAddedOrChanged(note, 'changed'), ...listWithdrawn(note)]
}

/** Returns the entries that belong to a service that the other note withdraws. */
function listEntriesOfWithdrawn (entries: readonly NamedEntry[], other: Note): readonly NamedEntry[] {
  const withdrawn = new Set(other.withdrawn.services)
  return entries.filter(({ service }) => service !== undefined && withdrawn.has(service))
}

/** Returns the keys of the entries that both notes affect. Withdrawing a service also affects its targets and routes. */
export function findCommonEntries (one: Note, other: Note): readonly string[] {
  const entries = listEntries(one)
  const others = listEntries(other)
  const keys = new Set(others.map(entry => entry.key))
  const common = [
    ...entries.filter(({ key }) => keys.has(key)),
    ...listEntriesOfWithdrawn(entries, other),
    ...listEntriesOfWithdrawn(others, one)
  ]
  return [...new Set(common.map(entry => entry.key))]
}
