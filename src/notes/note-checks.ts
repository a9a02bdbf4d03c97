/** Checks of a note that do not depend on the configuration. */
import type { Note, Target } from '../model/index.js'
import { listEntries } from './entries.js'
import { showValue, type Mistake } from '../schema/index.js'

interface TargetWithPath {
  readonly path: string
  readonly target: Target
}

function listTargets (note: Note, action: 'added' | 'changed'): readonly TargetWithPath[] {
  const { services, targets } = note[action]
  return [
    ...services.flatMap((service, i) => service.targets.map((target, j) => (
      { path: `${action}.services[${i}].targets[${j}]`, target }))),
    ...targets.map(({ target }, i) => ({ path: `${action}.targets[${i}].target`, target }))
  ]
}

/** A target that accepts fewer connections than it has slots could never use all its slots. */
function findTooFewConnections (note: Note): readonly Mistake[] {
  return [...listTargets(note, 'added'), ...listTargets(note, 'changed')]
    .filter(({ target }) => target.connections < target.slots)
    .map(({ path, target: { connections, slots } }) => (
      { path: `${path}.connections`, found: String(connections), allowed: `at least ${slots}, the slots of the target` }))
}

function findRepeatedClasses (note: Note): readonly Mistake[] {
  return (['added', 'changed'] as const).flatMap(action => note[action].services.flatMap(({ classes }, i) =>
    classes.flatMap(({ name }, j) => classes.findIndex(other => other.name === name) === j
      ? []
      : [{ path: `${action}.services[${i}].classes[${j}].name`, found: showValue(name), allowed: 'a name that no other class of the service has' }])))
}

/** If an entry were named twice, the result would depend on the order in which the note is read. */
function findRepeatedEntries (note: Note): readonly Mistake[] {
  const firstPaths = new Map<string, string>()
  return listEntries(note).flatMap(({ key, path }) => {
    const first = firstPaths.get(key)
    if (first === undefined) firstPaths.set(key, path)
    return first === undefined ? [] : [{ path, found: showValue(key), allowed: `an entry that the note does not name elsewhere; also named in ${first}` }]
  })
}

function findEntriesOfWithdrawnServices (note: Note): readonly Mistake[] {
  const withdrawn = new Set(note.withdrawn.services)
  return listEntries(note)
    .filter(({ kind, service }) => kind !== 'service' && service !== undefined && withdrawn.has(service))
    .map(({ path, service }) => ({ path, found: showValue(service), allowed: 'a service that the note does not withdraw' }))
}

function findEmptyNote (note: Note): readonly Mistake[] {
  return listEntries(note).length > 0 ? [] : [{ path: 'added', found: 'no entries', allowed: 'at least one entry in added, changed or withdrawn' }]
}

/** Returns every inconsistency within a well-formed note. */
export function checkConsistency (note: Note): readonly Mistake[] {
  return [findEmptyNote, findRepeatedEntries, findRepeatedClasses, findTooFewConnections, findEntriesOfWithdrawnServices].flatMap(check => check(note))
}
