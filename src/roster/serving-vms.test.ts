import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { VM } from '../model/index.js'
import { coresOf, selectServing, sortByRank, type Demand, type ServingCandidate } from './serving-vms.js'

const test = suite('serving VMs')

const WARM = 60_000
const COLD = 500
/** Demand that three VMs of one core serve at the highest measured utilisation. */
const DEMAND_OF_THREE = 1.8
const DEMAND: Demand = { measuredCores: 2, expectedCores: 1 }

const vmOf = (index: number, cores: number): VM => {
  const endpoint = { address: '10.0.0.1', port: index + 1 }
  return { name: `vm-${index}`, place: 'a', callers: endpoint, peers: endpoint, cores }
}
const equalVMs: readonly VM[] = Array.from({ length: 16 }, (_, index) => vmOf(index, 1))
/** A zone of 32 small VMs and two large ones. */
const mixedVMs: readonly VM[] = Array.from({ length: 34 }, (_, index) => vmOf(index, index === 11 || index === 23 ? 1.35 : 0.27))

const withReadyMs = (vms: readonly VM[], readyMs: (vm: VM) => number): readonly ServingCandidate[] => vms.map(vm => ({ vm, readyMs: readyMs(vm) }))

const cases: ReadonlyArray<readonly [name: string, vms: readonly VM[], readyMs: (vm: VM) => number, demandCores: number, chosen: number]> = [
  ['only the needed VMs serve when all are warm', equalVMs, () => WARM, DEMAND_OF_THREE, 3],
  ['more VMs serve when all are cold, because each has less capacity', equalVMs, () => COLD, DEMAND_OF_THREE, 9],
  ['a cold VM does not displace a warm one', equalVMs, vm => vm.name === 'vm-0' ? COLD : WARM, DEMAND_OF_THREE, 3],
  ['cold VMs make up for missing warm ones, and each gets the same share as a warm one', equalVMs, vm => vm.name === 'vm-1' ? WARM : COLD, DEMAND_OF_THREE, 9],
  ['two VMs serve without any demand', equalVMs, () => WARM, 0, 2],
  ['as many cold VMs as two warm ones serve without any demand', equalVMs, () => COLD, 0, 6],
  ['the demand of two large VMs is served by them', mixedVMs, () => WARM, 1.6, 2],
  ['a demand beyond two large VMs is spread over small ones too', mixedVMs, () => WARM, 1.7, 11],
  ['a few small VMs help while the large ones are cold', mixedVMs, vm => coresOf(vm) > 1 ? COLD : WARM, 1.6, 6],
  ['cold small VMs do not help cold large ones', mixedVMs, () => COLD, 1.6, 2],
  ['all VMs serve a demand beyond their capacity', mixedVMs, () => WARM, 100, 34],
  ['no VM serves without candidates', [], () => WARM, 1, 0]
]

for (const [name, vms, readyMs, measuredCores, chosen] of cases) {
  test(name, () => assert.is(selectServing(withReadyMs(vms, readyMs), { measuredCores, expectedCores: 0 }).length, chosen))
}

const expectations: ReadonlyArray<readonly [name: string, vms: readonly VM[], readyMs: (vm: VM) => number, demand: Demand, chosen: number]> = [
  ['an expected demand may use more of the VMs than a measured one', equalVMs, () => WARM, { measuredCores: 0, expectedCores: 2 * DEMAND_OF_THREE }, 5],
  ['cold VMs become warm before an expected demand arrives', equalVMs, () => COLD, { measuredCores: 0, expectedCores: 4 * DEMAND_OF_THREE }, 9],
  ['the higher demand counts', equalVMs, () => WARM, { measuredCores: DEMAND_OF_THREE, expectedCores: 3 * DEMAND_OF_THREE }, 7],
  ['large VMs are enough for an expected demand while all are cold', mixedVMs, () => COLD, { measuredCores: 0, expectedCores: 1.6 }, 2]
]

for (const [name, vms, readyMs, demand, chosen] of expectations) {
  test(name, () => assert.is(selectServing(withReadyMs(vms, readyMs), demand).length, chosen))
}

const demands: readonly number[] = [0, 0.2, 0.5, 1, 1.6, 1.7, 2, 3, 5]
for (const demandCores of demands) {
  test(`a demand of ${demandCores} cores loads no VM beyond its capacity`, () => {
    const chosen = selectServing(withReadyMs(mixedVMs, () => WARM), { measuredCores: demandCores, expectedCores: 0 })
    for (const vm of chosen) assert.ok(demandCores / chosen.length < coresOf(vm), `${vm.name} of ${chosen.length}`)
  })
}

test('the selection does not depend on the order of the candidates', () => {
  const candidates = withReadyMs(mixedVMs, () => WARM)
  assert.equal(selectServing([...candidates].reverse(), DEMAND), selectServing(candidates, DEMAND))
})

test('large VMs rank before small ones', () => {
  assert.equal(sortByRank(mixedVMs).slice(0, 2).map(({ name }) => name).sort(), ['vm-11', 'vm-23'])
})

test('removing a VM does not change the order of the others', () => {
  const [first] = sortByRank(equalVMs)
  assert.equal(sortByRank(equalVMs).slice(1), sortByRank(equalVMs.filter(vm => vm !== first)))
})

test.run()
