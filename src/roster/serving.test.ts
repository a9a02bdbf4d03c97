import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { VM } from '../model/index.js'
import { chooseServing, inRank } from './serving.js'

const test = suite('serving')

const vms: readonly VM[] = Array.from({ length: 16 }, (_, index) => {
  const endpoint = { address: '10.0.0.1', port: index + 1 }
  return { name: `vm-${index}`, place: 'a', callers: endpoint, peers: endpoint }
})
const WARM = 60_000
const COLD = 500

const cases: ReadonlyArray<readonly [name: string, readyMs: (vm: VM) => number, chosen: number]> = [
  ['few VMs serve when all are warm', () => WARM, 3],
  ['more VMs serve when all started a moment ago', () => COLD, 9],
  ['one cold VM does not take a warm one out', vm => vm.name === 'vm-0' ? COLD : WARM, 3],
  ['cold VMs help where warm ones are missing', vm => vm.name === 'vm-1' ? WARM : COLD, 7]
]

for (const [name, readyMs, chosen] of cases) {
  test(name, () => assert.is(chooseServing(vms.map(vm => ({ vm, readyMs: readyMs(vm) })), 3).length, chosen))
}

test('the choice does not depend on the order of the candidates', () => {
  const candidates = vms.map(vm => ({ vm, readyMs: WARM }))
  assert.equal(chooseServing([...candidates].reverse(), 3), chooseServing(candidates, 3))
})

test('a VM that is gone moves no other one', () => {
  const [first] = inRank(vms)
  assert.equal(inRank(vms).slice(1), inRank(vms.filter(vm => vm !== first)))
})

test.run()
