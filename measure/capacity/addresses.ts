/** Duration, memory and size of an address response. */
import { listAddresses, chooseSubset } from '../../src/routing/index.js'
import { TARGETS_PER_SERVICE } from './configuration.js'
import type { Measurement } from './measurement.js'
import { measureHeap, measureTime } from './resource-usage.js'
import { sampleMembers, sampleService } from './samples.js'

/** Responses over which the memory is averaged. */
const RESPONSES = 1000

/** One address response, by the number of VMs. */
export const addressResponseByVMs: Measurement = {
  name: 'address-answer',
  by: 'vms',
  sizes: [48, 480, 6900],
  quickSizes: [16, 32, 64],
  run: count => {
    const members = sampleMembers(count)
    const service = sampleService(0, TARGETS_PER_SERVICE)
    const subset = chooseSubset(service, members.map(({ vm }) => vm))
    const respond = (iteration: number): string => {
      const response = listAddresses({ service: service.name, zone: 'zone-1' }, subset, members, `10.9.0.${iteration % 256}`)
      return response.match(value => JSON.stringify(value), error => { throw new Error(error.detail) })
    }
    const responses = measureHeap(() => Array.from({ length: RESPONSES }, (_, i) => respond(i)))
    return [
      { measure: 'answer', unit: 'us', value: measureTime(respond) },
      { measure: 'heap', unit: 'B', value: responses.bytes / RESPONSES },
      { measure: 'bodyBytes', unit: 'B', value: Buffer.byteLength(respond(0)) }
    ]
  }
}
