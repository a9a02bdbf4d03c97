/** Memory and encoded size of the configuration that each VM replicates. */
import type { Configuration } from '../../src/model/index.js'
import { decode, encode } from '../../src/peer/codec.js'
import type { MeasuredValue, Measurement } from './measurement.js'
import { measureHeap, timeOnce } from './resource-usage.js'
import { sampleConfiguration, sampleNote } from './samples.js'

/** Targets per service in the expected fleet: 150,000 targets and 6,500 services. */
export const TARGETS_PER_SERVICE = 23

const FIXED_SERVICES = 65

/**
 * Measures the configuration as a VM holds it after a snapshot: decoded, so that no two entries share a string.
 * A joining VM catches up by receiving such a snapshot.
 */
function measureReplica (create: () => Configuration): readonly MeasuredValue[] {
  const bytes = encode(create())
  let decodeUs = 0
  const replica = measureHeap(() => {
    let decoded: unknown
    decodeUs = timeOnce(() => { decoded = decode(bytes).unwrapOr(undefined) })
    return decoded
  })
  return [
    { measure: 'heap', unit: 'B', value: replica.bytes },
    { measure: 'snapshotBytes', unit: 'B', value: bytes.length },
    { measure: 'decodeSnapshot', unit: 'us', value: decodeUs }
  ]
}

/** Configuration by the number of targets, at a fixed number of services. */
export const configurationByTargets: Measurement = {
  name: 'configuration-targets',
  by: 'targets',
  sizes: [1500, 15_000, 150_000],
  quickSizes: [150, 300, 600],
  run: targets => measureReplica(() => sampleConfiguration({ services: FIXED_SERVICES, targets, routes: 0 }))
}

/** Configuration by the number of services, which have no targets. */
export const configurationByServices: Measurement = {
  name: 'configuration-services',
  by: 'services',
  sizes: [65, 650, 6500],
  quickSizes: [20, 40, 80],
  run: services => measureReplica(() => sampleConfiguration({ services, targets: 0, routes: 0 }))
}

/** Configuration by the number of routes, at a fixed number of services. */
export const configurationByRoutes: Measurement = {
  name: 'configuration-routes',
  by: 'routes',
  sizes: [1000, 10_000, 110_000],
  quickSizes: [100, 200, 400],
  run: routes => measureReplica(() => sampleConfiguration({ services: FIXED_SERVICES, targets: 0, routes }))
}

/** Accepted notes that a replica retains for peers that lag behind. */
export const retainedNotesByCount: Measurement = {
  name: 'held-notes',
  by: 'notes',
  sizes: [10, 100, 1000],
  quickSizes: [10, 20, 40],
  run: notes => {
    const { services } = sampleConfiguration({ services: 1, targets: TARGETS_PER_SERVICE, routes: 0 })
    const encoded = Array.from({ length: notes }, (_, i) => encode(['note', sampleNote(i + 1, services[0]!)]))
    const retained = measureHeap(() => encoded.map(bytes => decode(bytes).unwrapOr(undefined)))
    return [
      { measure: 'heap', unit: 'B', value: retained.bytes },
      { measure: 'messageBytes', unit: 'B', value: encoded.reduce((sum, bytes) => sum + bytes.length, 0) }
    ]
  }
}
