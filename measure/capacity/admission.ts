/** Processor time and memory of admission control. */
import { Effect } from 'effect'
import { createAdmission, type AdmissionControl } from '../../src/admission/index.js'
import type { Configuration, Observation, Shares } from '../../src/model/index.js'
import { TARGETS_PER_SERVICE } from './configuration.js'
import type { MeasuredValue, Measurement } from './measurement.js'
import { measureHeap, measureTime } from './resource-usage.js'
import { createRandom, type Random } from '../random.js'
import { sampleConfiguration } from './samples.js'

const SEED = 1
const DEADLINE_MS = 2000
const TARGET_LATENCY_MS = 20
/** Responses per served service: enough to fill the latency medians and the state of every target. */
const RESPONSES_PER_SERVICE = 100
/** Simulated time between two requests. */
const REQUEST_INTERVAL_MS = 0.1

const NO_NAMES: ReadonlySet<string> = new Set()
const shares: Shares = { limit: () => 4, connectionLimit: () => 50, ejected: () => NO_NAMES, probation: () => NO_NAMES }

interface Traffic {
  readonly admission: AdmissionControl
  /** Acquires a slot and releases it with a successful response. */
  readonly request: (service: number) => void
}

function createTraffic (configuration: Configuration, random: Random): Traffic {
  let now = 1000
  const admission = createAdmission({
    configuration: () => configuration, shares, zone: 'zone-1', observe: () => {}, random, clock: () => now
  })
  const createObservation = (service: string, target: string): Observation =>
    ({ service, target, class: 'read', result: 'answered', latencyMs: TARGET_LATENCY_MS, fingerprint: '' })
  return {
    admission,
    request: index => {
      const service = configuration.services[index % configuration.services.length]?.name ?? ''
      now += REQUEST_INTERVAL_MS
      const slotRequest = { service, class: 'read', caller: 'caller-1', deadlineAt: now + DEADLINE_MS, avoid: NO_NAMES, avoidPlaces: NO_NAMES }
      const slot = Effect.runSync(admission.acquire(slotRequest, now))
      slot.release(createObservation(service, slot.target.id), now)
    }
  }
}

function measureAdmission (configuration: Configuration, servedServices: number): readonly MeasuredValue[] {
  const { services } = configuration
  const first = services.length - servedServices
  const { bytes, value: traffic } = measureHeap(() => {
    const warmedUp = createTraffic(configuration, createRandom(SEED))
    for (let i = 0; i < servedServices * RESPONSES_PER_SERVICE; i++) warmedUp.request(first + i % servedServices)
    return warmedUp
  })
  return [
    { measure: 'acquireAndRelease', unit: 'us', value: measureTime(iteration => traffic.request(first + iteration % servedServices)) },
    { measure: 'heap', unit: 'B', value: bytes }
  ]
}

/** Admission by the number of services that the VM serves, each with 23 targets. */
export const admissionByServedServices: Measurement = {
  name: 'admission-by-served-services',
  by: 'services',
  sizes: [8, 65, 650],
  quickSizes: [2, 4, 8],
  run: services => measureAdmission(sampleConfiguration({ services, targets: services * TARGETS_PER_SERVICE, routes: 0 }), services)
}

/** Admission by the number of configured services. The VM serves the last 8, the worst case for a linear scan. */
export const admissionByConfiguredServices: Measurement = {
  name: 'admission-by-configured-services',
  by: 'services',
  sizes: [65, 650, 6500],
  quickSizes: [10, 20, 40],
  run: services => measureAdmission(sampleConfiguration({ services, targets: services * TARGETS_PER_SERVICE, routes: 0 }), 8)
}

/** Admission by the number of targets of a single service. */
export const admissionByTargets: Measurement = {
  name: 'admission-by-targets',
  by: 'targets',
  sizes: [6, 23, 60, 240],
  quickSizes: [2, 4, 8],
  run: targets => measureAdmission(sampleConfiguration({ services: 1, targets, routes: 0 }), 1)
}
