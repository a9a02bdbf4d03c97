import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { VM } from '../model/index.js'
import { listedVMsChannel, MAX_LISTED_VMS, packListedVM, unpackListedVM } from './index.js'

const test = suite('roster messages')

const vm: VM = { name: 'edge-1', place: 'riga-a', callers: { address: '10.1.0.1', port: 8161 }, peers: { address: '10.1.0.1', port: 7720 } }

for (const [name, sample] of [['without a capacity', vm], ['with a capacity', { ...vm, cores: 1.35 }]] as const) {
  test(`a listed VM ${name} is decoded as it was encoded`, () => {
    const [packed] = listedVMsChannel.parse([packListedVM(sample)])._unsafeUnwrap()
    assert.equal(packed && unpackListedVM(packed), sample)
  })
}

const malformed: ReadonlyArray<readonly [name: string, value: unknown]> = [
  ['no list', 7], ['a VM without capacity member', [[['edge-1', 'a', '10.1.0.1', 1, '10.1.0.1', 2]]]], ['a port out of range', [[['edge-1', 'a', '10.1.0.1', 70_000, '10.1.0.1', 2], null]]],
  ['too many VMs', Array.from({ length: MAX_LISTED_VMS + 1 }, () => packListedVM(vm))]
]

for (const [name, value] of malformed) test(`${name} is rejected`, () => assert.ok(listedVMsChannel.parse(value).isErr()))

test.run()
