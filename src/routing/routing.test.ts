import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import * as fc from 'fast-check'
import type { Result } from 'neverthrow'
import type { Refusal } from '../errors/index.js'
import type { Class, Configuration, Member, Route, Service, VM } from '../model/index.js'
import { listAddresses, chooseSubset, createRouteTable, createSubsets, defaultSubsetSize, type AddressResponse } from './index.js'

const SEED = 20261204

const read: Class = { name: 'read', idempotent: true, deadlineMs: 1000, priority: 0 }
const hold: Class = { name: 'hold', idempotent: false, deadlineMs: 1000, priority: 1 }

function serviceOf (name: string, targets: number, slots: number): Service {
  return {
    name,
    targets: Array.from({ length: targets }, (_, i) => ({
      id: `t${i}`, address: '127.0.0.1', port: 9000 + i, place: 'riga-a', slots, connections: 400
    })),
    classes: [read, hold],
    floor: 1,
    preference: 'detection',
    queue: { length: 64, ageMs: 500 }
  }
}

function route (id: string, pathPrefix: string, overrides: Partial<Route> = {}): Route {
  return { id, service: 'listing', class: 'read', pathPrefix, ...overrides }
}

const configuration: Configuration = {
  revision: 1,
  services: [serviceOf('listing', 30, 4), serviceOf('holds', 6, 4)],
  routes: [
    route('root', '/'),
    route('holds', '/holds'),
    route('holds-post', '/holds', { methods: ['POST'], class: 'hold', service: 'holds' }),
    route('photos', '/holds/photos/'),
    route('host', '/', { host: 'Archive.example' })
  ]
}

const routes = suite('routes')
const routeCases = [
  { name: 'the longest prefix takes precedence', host: 'a', url: '/holds/7', method: 'GET', id: 'holds' },
  { name: 'a prefix matches whole segments', host: 'a', url: '/holdsale', method: 'GET', id: 'root' },
  { name: 'the route that lists the method takes precedence', host: 'a', url: '/holds/7', method: 'POST', id: 'holds-post' },
  { name: 'the query is ignored', host: 'a', url: '/holds?x=/holds/photos', method: 'GET', id: 'holds' },
  { name: 'a trailing slash in the prefix is optional', host: 'a', url: '/holds/photos', method: 'GET', id: 'photos' },
  { name: 'a route for the host takes precedence over one for any host', host: 'archive.example:8080', url: '/holds/7', method: 'GET', id: 'host' }
] as const

for (const { name, host, url, method, id } of routeCases) {
  routes(name, () => {
    assert.is(createRouteTable(configuration).find(host, url, method)._unsafeUnwrap().route, id)
  })
}

// Guards against a table that uses the cached index of an earlier configuration.
routes('a table has the routes and services of its own configuration', () => {
  const find = (current: Configuration): unknown => createRouteTable(current).find('a', '/holds/7', 'GET').match(found => found, refused => refused.kind)
  const resolved = find(configuration) as { service: Service }
  assert.is(resolved.service, configuration.services[0])
  const changed = serviceOf('listing', 3, 4)
  assert.is((find({ ...configuration, services: [changed] }) as { service: Service }).service, changed)
  assert.is((find({ ...configuration, routes: [route('other', '/')] }) as { route: string }).route, 'other')
  assert.is(find({ ...configuration, routes: [] }), 'route-unknown')
})

// Guards against forwarding of requests that match no route.
routes('a request without a matching route is refused', () => {
  const table = createRouteTable({ ...configuration, routes: [route('a', '/a', { methods: ['GET'] })] })
  for (const [url, method] of [['/b', 'GET'], ['/a', 'POST'], ['/', 'GET']] as const) {
    assert.is(table.find('x', url, method)._unsafeUnwrapErr().kind, 'route-unknown')
  }
})

/** Reference implementation that scans all routes. */
function findByScan (list: readonly Route[], path: string, method: string): string | undefined {
  const matches = list.filter(item => {
    const prefix = item.pathPrefix.replace(/\/$/, '')
    return (path === prefix || path.startsWith(`${prefix}/`)) && (item.methods?.includes(method) ?? true)
  })
  matches.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length ||
    Number(b.methods !== undefined) - Number(a.methods !== undefined))
  return matches[0]?.id
}

// Guards against an index that finds a different route than a scan of the list.
routes('the index agrees with a scan', () => {
  const segment = fc.constantFrom('a', 'b', 'ab')
  const path = fc.array(segment, { maxLength: 4 }).map(parts => `/${parts.join('/')}`)
  const methods = fc.constantFrom(undefined, ['GET'], ['POST'])
  const lists = fc.uniqueArray(fc.record({ path, methods }), {
    selector: item => `${item.path} ${item.methods?.join() ?? ''}`, maxLength: 12
  })
  fc.assert(fc.property(lists, path, fc.constantFrom('GET', 'POST'), (list, url, method) => {
    const routesOfList = list.map((item, i) => route(`r${i}`, item.path,
      item.methods === undefined ? {} : { methods: item.methods }))
    const found = createRouteTable({ ...configuration, routes: routesOfList }).find('x', url, method)
    assert.is(found.isOk() ? found.value.route : undefined, findByScan(routesOfList, url, method))
  }), { seed: SEED, numRuns: 500 })
})
routes.run()

const ZONES = ['riga-a', 'riga-b', 'daugavpils'] as const

function vmsOf (count: number): readonly VM[] {
  return Array.from({ length: count }, (_, i) => ({
    name: `entry-${i}`,
    place: ZONES[i % ZONES.length] ?? 'riga-a',
    callers: { address: `127.0.1.${i}`, port: 8080 },
    peers: { address: `127.0.1.${i}`, port: 8081 }
  }))
}

function membersOf (vms: readonly VM[], states: Readonly<Record<string, Member['state']>> = {}): readonly Member[] {
  return vms.map(vm => ({ vm, state: states[vm.name] ?? 'live', incarnation: '1' }))
}

const subsets = suite('subsets')

for (const { service, size } of [
  { service: serviceOf('listing', 30, 4), size: 8 },
  { service: serviceOf('holds', 6, 4), size: 6 },
  { service: serviceOf('certification', 8, 2), size: 4 },
  { service: serviceOf('tiny', 1, 2), size: 3 }
]) {
  subsets(`the subset of ${service.name} has ${size} VMs and has members in every zone`, () => {
    const subset = chooseSubset(service, vmsOf(48))
    assert.is(defaultSubsetSize(service), size)
    assert.is(subset.length, size)
    assert.is(new Set(subset.map(vm => vm.place)).size, 3)
  })
}

// Guards against VMs that compute different subsets because the order of their lists differs.
subsets('the subset does not depend on the order of the list', () => {
  const service = serviceOf('holds', 6, 4)
  const names = (vms: readonly VM[]): readonly string[] => chooseSubset(service, vms).map(vm => vm.name)
  assert.equal(names(vmsOf(48)), names([...vmsOf(48)].reverse()))
})

// Guards against a change of all address responses when a single VM is replaced.
subsets('the removal of one VM replaces at most one member', () => {
  const vms = vmsOf(48)
  for (let s = 0; s < 50; s++) {
    const service = serviceOf(`s${s}`, 6, 4)
    const before = new Set(chooseSubset(service, vms).map(vm => vm.name))
    for (const removed of vms) {
      const after = chooseSubset(service, vms.filter(vm => vm !== removed))
      const added = after.filter(vm => !before.has(vm.name)).length
      assert.ok(added <= (before.has(removed.name) ? 1 : 0), `${service.name} without ${removed.name}: ${added} added`)
    }
  }
})

// Guards against hashing that assigns several times as many services to some VMs as to others.
subsets('the services per VM are within 25 % of the mean, for 6,500 services and 48 VMs', () => {
  const vms = vmsOf(48)
  const counts = new Map(vms.map(vm => [vm.name, 0]))
  for (let s = 0; s < 6500; s++) {
    for (const vm of chooseSubset(serviceOf(`service-${s}`, 6, 4), vms)) {
      counts.set(vm.name, (counts.get(vm.name) ?? 0) + 1)
    }
  }
  const mean = 6500 * 6 / 48
  for (const [name, count] of counts) assert.ok(Math.abs(count - mean) < mean / 4, `${name}: ${count}, mean ${mean}`)
})
subsets.run()

const addresses = suite('addresses')

function query (members: readonly Member[], service: string, zone: string | undefined, caller = '10.0.0.1'): Result<AddressResponse, Refusal> {
  const subsets = createSubsets(() => configuration)
  subsets.refresh(members)
  return listAddresses({ service, zone }, subsets.of(service), members, caller)
}

addresses('VMs in the zone of the caller come first', () => {
  const response = query(membersOf(vmsOf(48)), 'holds', 'riga-b')
  const zones = response._unsafeUnwrap().addresses.map(entry => entry.place)
  const firstOther = zones.findIndex(zone => zone !== 'riga-b')
  assert.ok(firstOther > 0)
  assert.not.ok(zones.slice(firstOther).includes('riga-b'))
})

// Guards against callers that are sent to a VM that is about to stop.
addresses('leaving and suspect VMs are omitted while others are live', () => {
  const vms = vmsOf(48)
  const [first, second] = chooseSubset(serviceOf('holds', 6, 4), vms)
  const members = membersOf(vms, { [first?.name ?? '']: 'leaving', [second?.name ?? '']: 'suspect' })
  const response = query(members, 'holds', undefined)
  const names = response._unsafeUnwrap().addresses.map(entry => entry.vm)
  assert.not.ok(names.includes(first?.name ?? ''))
  assert.not.ok(names.includes(second?.name ?? ''))
  assert.is(names.length, 4)
})

// Guards against an empty response when this VM has lost contact with all others.
addresses('suspect VMs are returned if no VM is live', () => {
  const members = membersOf(vmsOf(6)).map(member => ({ ...member, state: 'suspect' as const }))
  const response = query(members, 'holds', undefined)
  assert.is(response._unsafeUnwrap().addresses.length, 6)
})

// Guards against all callers of a zone using the same VM.
addresses('the first addresses are distributed over the subset', () => {
  const counts = new Map<string, number>()
  for (let i = 0; i < 1200; i++) {
    const response = query(membersOf(vmsOf(48)), 'holds', undefined, `10.0.${i >> 8}.${i & 255}`)
    const vm = response._unsafeUnwrap().addresses[0]?.vm ?? ''
    counts.set(vm, (counts.get(vm) ?? 0) + 1)
  }
  assert.is(counts.size, 6)
  for (const [vm, count] of counts) assert.ok(count > 120 && count < 280, `${vm}: ${count} of 1200`)
})

// Guards against cached subsets of earlier members or an earlier configuration.
addresses('subsets change with the members and the configuration', () => {
  let current = configuration
  const subsets = createSubsets(() => current)
  subsets.refresh(membersOf(vmsOf(6)))
  assert.is(subsets.of('holds').length, 6)
  subsets.refresh(membersOf(vmsOf(6), { 'entry-0': 'gone' }))
  assert.not.ok(subsets.of('holds').some(vm => vm.name === 'entry-0'))
  assert.equal([...subsets.peersOf('entry-1')].sort(), ['entry-2', 'entry-3', 'entry-4', 'entry-5'])
  current = { ...configuration, revision: 2, services: [] }
  assert.equal(subsets.of('holds'), [])
  assert.equal(subsets.peersOf('entry-1'), [])
})

addresses('an unknown service is refused', () => {
  const response = query(membersOf(vmsOf(6)), 'nothing', undefined)
  assert.is(response._unsafeUnwrapErr().kind, 'service-unknown')
})
addresses.run()
