/** Processor time and memory of admission. */
import { Effect } from 'effect'
import { createAdmission, type AdmissionControl } from '../../src/admission/index.js'
import type { Configuration, Observation, Shares } from '../../src/model/index.js'
import { TARGETS_PER_SERVICE } from './configuration.js'
import type { Figure, Measurement } from './measurement.js'
import { measureHeap, measureTime } from './probe.js'
import { createRandom, type Random } from '../random.js'
import { sampleConfiguration } from './samples.js'

const SEED = 1
const DEADLINE_MS = 2000
const LATENCY_MS = 20
/** Answers of each used service: enough for medians and for the state of every target. */
const ANSWERS_PER_SERVICE = 100
/** Time between two requests of the same run. */
const STEP_MS = 0.1

const NONE: ReadonlySet<string> = new Set()
const shares: Shares = { limit: () => 4, connectionLimit: () => 50, ejected: () => NONE, probation: () => NONE }

interface Traffic {
  readonly admission: AdmissionControl
  /** Acquires a slot, and releases it with an answer. */
  readonly request: (service: number) => void
}

function createTraffic (configuration: Configuration, random: Random): Traffic {
  let now = 1000
  const admission = createAdmission({
    configuration: () => configuration, shares, zone: 'zone-1', observe: () => {}, random, clock: () => now
  })
  const observationOf = (service: string, target: string): Observation =>
    ({ service, target, class: 'read', result: 'answered', latencyMs: LATENCY_MS, fingerprint: '' })
  return {
    admission,
    request: index => {
      const service = configuration.services[index % configuration.services.length]?.name ?? ''
      now += STEP_MS
      const wanted = { service, class: 'read', caller: 'caller-1', deadlineAt: now + DEADLINE_MS, avoid: NONE, avoidPlaces: NONE }
      const slot = Effect.runSync(admission.acquire(wanted, now))
      slot.release(observationOf(service, slot.target.id), now)
    }
  }
}

function measureAdmission (configuration: Configuration, usedServices: number): readonly Figure[] {
  const { services } = configuration
  const first = services.length - usedServices
  const { bytes, value: traffic } = measureHeap(() => {
    const created = createTraffic(configuration, createRandom(SEED))
    for (let i = 0; i < usedServices * ANSWERS_PER_SERVICE; i++) created.request(first + i % usedServices)
    return created
  })
  return [
    { measure: 'acquireAndRelease', unit: 'us', value: measureTime(turn => traffic.request(first + turn % usedServices)) },
    { measure: 'heap', unit: 'B', value: bytes }
  ]
}

/** Services that this VM serves; each has 23 targets. */
export const admissionByServed: Measurement = {
  name: 'admission-by-served-services',
  by: 'services',
  sizes: [8, 65, 650],
  quickSizes: [2, 4, 8],
  run: services => measureAdmission(sampleConfiguration({ services, targets: services * TARGETS_PER_SERVICE, routes: 0 }), services)
}

/** Services of the configuration, of which this VM serves the last 8, which a scan finds last. */
export const admissionByConfigured: Measurement = {
  name: 'admission-by-configured-services',
  by: 'services',
  sizes: [65, 650, 6500],
  quickSizes: [10, 20, 40],
  run: services => measureAdmission(sampleConfiguration({ services, targets: services * TARGETS_PER_SERVICE, routes: 0 }), 8)
}

/** Targets of one service. */
export const admissionByTargets: Measurement = {
  name: 'admission-by-targets',
  by: 'targets',
  sizes: [6, 23, 60, 240],
  quickSizes: [2, 4, 8],
  run: targets => measureAdmission(sampleConfiguration({ services: 1, targets, routes: 0 }), 1)
}
