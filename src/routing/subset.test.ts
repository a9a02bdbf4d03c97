/** Compares the selection of subsets with a full sort, and checks which cached subsets a change keeps. */
import * as fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Configuration, Member, Service, VM } from '../model/index.js'
import { chooseSubset, createSubsets, rendezvousScore } from './index.js'

const subset = suite('subset selection')
const SEED = 20261204

const serviceOf = (name: string, subsetSize: number): Service =>
  ({ name, targets: [], classes: [], floor: 0, preference: 'detection', subsetSize, queue: { length: 64, ageMs: 500 } })

const vmOf = (name: string, place: string): VM =>
  ({ name, place, callers: { address: '127.0.0.1', port: 1 }, peers: { address: '127.0.0.1', port: 2 } })

/** Reference implementation: sorts the VMs of every zone, then takes one of each zone in turn. */
function selectByFullSort ({ name: key, subsetSize = 0 }: Service, vms: readonly VM[]): readonly string[] {
  const rank = (names: readonly string[]): readonly string[] => [...new Set(names)].sort((a, b) =>
    rendezvousScore(key, b) - rendezvousScore(key, a) || (a < b ? -1 : 1))
  const ranked = rank(vms.map(vm => vm.place)).map(zone => rank(vms.filter(vm => vm.place === zone).map(vm => vm.name)))
  return vms.flatMap((_, turn) => ranked.flatMap(group => group[turn] ?? [])).slice(0, subsetSize)
}

// Guards against VMs that select different subsets because one of them keeps too few candidates of a zone.
subset('a subset equals that of a full sort of every zone, for any order of the VMs', () => {
  const zones = fc.array(fc.constantFrom('a', 'b', 'c', 'd'), { maxLength: 40 })
  fc.assert(fc.property(zones, fc.integer({ min: 1, max: 12 }), fc.string({ maxLength: 5 }), (list, size, name) => {
    const vms = list.map((zone, i) => vmOf(`entry-${i}`, zone))
    const service = serviceOf(name, size)
    const expected = selectByFullSort(service, vms)
    assert.equal(chooseSubset(service, vms).map(vm => vm.name), expected)
    assert.equal(chooseSubset(service, [...vms].reverse()).map(vm => vm.name), expected)
  }), { seed: SEED, numRuns: 300 })
})

// Guards against a cached subset that is kept although the service, the VMs or an address changed.
subset('a subset is computed again exactly if its service or its VMs changed', () => {
  const members = (port: number): readonly Member[] => Array.from({ length: 12 }, (_, i) => ({
    vm: { ...vmOf(`entry-${i}`, `place-${i % 3}`), callers: { address: '127.0.0.1', port } }, state: 'live', incarnation: '1'
  }))
  const [one, other] = [serviceOf('one', 3), serviceOf('other', 3)]
  let configuration: Configuration = { revision: 1, services: [one, other], routes: [] }
  const subsets = createSubsets(() => configuration)
  subsets.refresh(members(1))
  const kept = subsets.of('one')
  subsets.of('other')
  configuration = { revision: 2, services: [one, serviceOf('other', 5)], routes: [] }
  assert.is(subsets.of('one'), kept)
  assert.is(subsets.of('other').length, 5)
  const peers = subsets.peersOf(subsets.of('other')[0]?.name ?? '')
  assert.ok(subsets.of('other').slice(1).every(vm => peers.includes(vm.name)))
  configuration = { revision: 3, services: [one], routes: [] }
  assert.equal(subsets.of('other'), [])
  configuration = { revision: 4, services: [one, serviceOf('other', 2)], routes: [] }
  assert.is(subsets.of('other').length, 2)
  subsets.refresh(members(9))
  assert.is(subsets.of('one')[0]?.callers.port, 9)
})

interface Step {
  /** Numbers of VMs to add if they are absent, and to remove if they are present. */
  readonly toggled: readonly number[]
  /** Numbers of VMs that move to another zone, with the number of that zone. */
  readonly moved: ReadonlyArray<readonly [number, number]>
}

const vmNumber = fc.nat({ max: 24 })
const step: fc.Arbitrary<Step> = fc.record({
  toggled: fc.oneof(fc.array(vmNumber, { maxLength: 2 }), fc.array(vmNumber, { maxLength: 25 })),
  moved: fc.array(fc.tuple(vmNumber, fc.nat({ max: 4 })), { maxLength: 2 })
})

// Guards against a cached subset that is kept although a VM that affects it was added or removed.
subset('subsets after changes of the VMs equal newly computed ones', () => {
  let keptCount = 0
  fc.assert(fc.property(fc.array(step, { minLength: 1, maxLength: 20 }), steps => {
    const services = Array.from({ length: 12 }, (_, i) => serviceOf(`service-${i}`, 1 + i % 8))
    const configuration: Configuration = { revision: 1, services, routes: [] }
    const subsets = createSubsets(() => configuration)
    const present = new Set<number>()
    const places = Array.from({ length: 25 }, (_, i) => i % 4)
    let before = services.map(({ name }) => subsets.of(name))
    for (const { toggled, moved } of steps) {
      for (const vm of toggled) if (!present.delete(vm)) present.add(vm)
      for (const [vm, place] of moved) places[vm] = place
      const vms = [...present].map(i => vmOf(`entry-${i}`, `place-${places[i]}`))
      subsets.refresh(vms.map(vm => ({ vm, state: 'live', incarnation: '1' })))
      const after = services.map(({ name }) => subsets.of(name))
      const expected = services.map(service => chooseSubset(service, vms))
      assert.equal(after, expected)
      keptCount += after.filter((current, i) => current === before[i] && current.length > 0).length
      before = after
    }
  }), { seed: SEED, numRuns: 300 })
  // Guards against an implementation that computes all subsets again at each change.
  assert.ok(keptCount > 1000, `${keptCount} subsets kept`)
})

subset.run()
