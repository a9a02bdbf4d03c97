/** Time and memory of an address answer. */
import { listAddresses, chooseSubset } from '../../src/routing/index.js'
import { TARGETS_PER_SERVICE } from './configuration.js'
import type { Measurement } from './measurement.js'
import { measureHeap, measureTime } from './probe.js'
import { sampleMembers, sampleService } from './samples.js'

/** Answers over which the memory is averaged. */
const ANSWERS = 1000

/** One address answer by the number of VMs. */
export const addresses: Measurement = {
  name: 'address-answer',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [16, 32, 64],
  run: count => {
    const members = sampleMembers(count)
    const service = sampleService(0, TARGETS_PER_SERVICE)
    const subset = chooseSubset(service, members.map(({ vm }) => vm))
    const answer = (turn: number): string => {
      const answered = listAddresses({ service: service.name, zone: 'zone-1' }, subset, members, `10.9.0.${turn % 256}`)
      return answered.match(value => JSON.stringify(value), refused => { throw new Error(refused.detail) })
    }
    const answers = measureHeap(() => Array.from({ length: ANSWERS }, (_, i) => answer(i)))
    return [
      { measure: 'answer', unit: 'us', value: measureTime(answer) },
      { measure: 'heap', unit: 'B', value: answers.bytes / ANSWERS },
      { measure: 'bodyBytes', unit: 'B', value: Buffer.byteLength(answer(0)) }
    ]
  }
}
