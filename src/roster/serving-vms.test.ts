import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { VM } from '../model/index.js'
import { selectServing, sortByRank } from './serving-vms.js'

const test = suite('serving VMs')

const vms: readonly VM[] = Array.from({ length: 16 }, (_, index) => {
  const endpoint = { address: '10.0.0.1', port: index + 1 }
  return { name: `vm-${index}`, place: 'a', callers: endpoint, peers: endpoint }
})
const WARM = 60_000
const COLD = 500

const cases: ReadonlyArray<readonly [name: string, readyMs: (vm: VM) => number, chosen: number]> = [
  ['only the needed VMs serve when all are warm', () => WARM, 3],
  ['more VMs serve when all are cold, because each has less capacity', () => COLD, 9],
  ['a cold VM does not displace a warm one', vm => vm.name === 'vm-0' ? COLD : WARM, 3],
  ['cold VMs make up for missing warm ones', vm => vm.name === 'vm-1' ? WARM : COLD, 7]
]

for (const [name, readyMs, chosen] of cases) {
  test(name, () => assert.is(selectServing(vms.map(vm => ({ vm, readyMs: readyMs(vm) })), 3).length, chosen))
}

test('the selection does not depend on the order of the candidates', () => {
  const candidates = vms.map(vm => ({ vm, readyMs: WARM }))
  assert.equal(selectServing([...candidates].reverse(), 3), selectServing(candidates, 3))
})

test('removing a VM does not change the order of the others', () => {
  const [first] = sortByRank(vms)
  assert.equal(sortByRank(vms).slice(1), sortByRank(vms.filter(vm => vm !== first)))
})

test.run()
