/** Small notes with every type of change, for tests that compare configurations. */
import type { Configuration, Note, Service } from '../../src/model/index.js'

const noEntries = { services: [], targets: [], routes: [] }
const SERVICES = ['holds', 'listing', 'register']
const EXTRA = 'extra'

const serviceOf = (name: string): Service => ({
  name,
  targets: [1, 2, 3].map(number => (
    { id: `${name}-${number}`, address: '10.0.0.1', port: 8000 + number, place: 'riga-a', slots: 4, connections: 400 })),
  classes: [{ name: 'read', idempotent: true, deadlineMs: 1000, priority: 0 }],
  floor: 4,
  preference: 'accuracy',
  queue: { length: 64, ageMs: 500 }
})

/** A configuration of three services with three targets and one route each. */
export const sampleConfiguration: Configuration = {
  revision: 0,
  services: SERVICES.map(serviceOf),
  routes: SERVICES.map(name => ({ id: name, service: name, class: 'read', pathPrefix: `/${name}` }))
}

/**
 * Creates a note that applies to the configuration. `choice` selects the type of change and the service.
 * A service, target or route that an earlier note added is withdrawn again.
 */
export function sampleNote (configuration: Configuration, id: string, choice: number): Note {
  const base = { id, base: configuration.revision, added: noEntries, changed: noEntries, withdrawn: noEntries }
  const name = SERVICES[choice % SERVICES.length] ?? ''
  const service = configuration.services.find(other => other.name === name) ?? serviceOf(name)
  const [target] = service.targets
  const extra = { ...serviceOf(name).targets[0]!, id: EXTRA }
  const hasService = configuration.services.some(other => other.name === EXTRA)
  const hasRoute = configuration.routes.some(route => route.id === EXTRA)
  switch (Math.floor(choice / SERVICES.length) % 6) {
    case 0: return target === undefined ? base : { ...base, changed: { ...noEntries, targets: [{ service: name, target: { ...target, slots: target.slots + 1 } }] } }
    case 1: return { ...base, changed: { ...noEntries, services: [{ ...service, targets: [], floor: service.floor + 1 }] } }
    case 2: return { ...base, changed: { ...noEntries, routes: [{ id: name, service: name, class: 'read', pathPrefix: `/${name}/${id}` }] } }
    case 3: return service.targets.some(other => other.id === EXTRA)
      ? { ...base, withdrawn: { ...noEntries, targets: [{ service: name, id: EXTRA }] } }
      : { ...base, added: { ...noEntries, targets: [{ service: name, target: extra }] } }
    case 4: return hasService
      ? { ...base, withdrawn: { ...noEntries, services: [EXTRA] } }
      : { ...base, added: { ...noEntries, services: [serviceOf(EXTRA)] } }
    default: return hasRoute
      ? { ...base, withdrawn: { ...noEntries, routes: [EXTRA] } }
      : { ...base, added: { ...noEntries, routes: [{ id: EXTRA, service: name, class: 'read', pathPrefix: `/${name}/deep` }] } }
  }
}
