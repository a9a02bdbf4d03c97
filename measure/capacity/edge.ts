/** Memory and processor time of a VM whose configuration and targets are kept in a store. */
import { Writable } from 'node:stream'
import { Effect } from 'effect'
import { createCatalog, type Catalog, type Change, type Rule } from '../../src/catalog/index.js'
import { createBoundedWriter, createLog, type Log } from '../../src/log/index.js'
import type { Mesh } from '../../src/model/index.js'
import { createLoadBalancer } from '../../src/placing/index.js'
import type { Measurement } from './measurement.js'
import { measureHeap, measureTime } from './resource-usage.js'

const SILENT_LOG: Log = { info: () => {}, warn: () => {}, error: () => {} }
const EMPTY_MESH: Mesh = { contacts: () => [], subscribe: () => {}, send: () => false }
const SERVICE = 'service-1'
const SLOTS = 4
/** Targets per service in the expected fleet. */
const TARGETS_PER_SERVICE = 23

function sampleListings (count: number, services = 1): readonly Change[] {
  return Array.from({ length: count }, (_, index): Change => {
    const id = `i-${index.toString(16).padStart(10, '0')}`
    const service = `service-${1 + index % services}`
    const listing = { id, service, address: `10.${index % 200}.64.35`, port: 8582, zone: `zone-${index % 3}`, slots: SLOTS, draining: false, warmupMs: 0, startedAt: index }
    return { version: index + 1, entry: { kind: 'listing', id, listing } }
  })
}

function sampleRules (count: number): readonly Rule[] {
  return Array.from({ length: count }, (_, index): Rule => ({
    name: `rule-${index}`,
    host: `host-${index % 1000}.example`,
    prefix: `/path-${index}/`,
    idempotent: index % 2 === 0,
    branches: [{ service: SERVICE, weight: 1 }],
    maxAttempts: 3,
    timeoutMs: 2000,
    objectiveMs: 800,
    priority: 1
  }))
}

function createFilledCatalog (changes: readonly Change[], section: 'listings' | 'rulesets'): Catalog {
  const catalog = createCatalog(SILENT_LOG)
  catalog.apply({ section, changes, after: undefined, upTo: changes.length }, 0)
  return catalog
}

const sampleRulesetChange = (count: number): Change => ({
  version: 1,
  entry: {
    kind: 'ruleset',
    ruleset: {
      version: 1,
      rules: sampleRules(count),
      pools: [{ name: SERVICE, healthPath: '/', maxConnections: 100 }],
      limits: { headerBytes: 8192, bodyBytes: 1e6, headerTimeMs: 5000, idleTimeMs: 60_000 }
    }
  }
})

/** Catalog of a VM, by the number of listed targets. */
export const catalogByTargets: Measurement = {
  name: 'catalog-listings',
  by: 'targets',
  sizes: [1500, 15_000, 150_000],
  quickSizes: [10, 20, 40],
  run: count => {
    const changes = sampleListings(count, Math.ceil(count / TARGETS_PER_SERVICE))
    const { bytes, value: catalog } = measureHeap(() => createFilledCatalog(sampleListings(count, Math.ceil(count / TARGETS_PER_SERVICE)), 'listings'))
    const [first] = changes
    let version = count
    const applyChange = (): boolean => catalog.apply({ section: 'listings', changes: [{ version: ++version, entry: (first as Change).entry }], after: version - 1, upTo: version }, 0)
    return [
      { measure: 'heap', unit: 'B', value: bytes },
      { measure: 'change', unit: 'us', value: measureTime(applyChange) }
    ]
  }
}

/** Catalog of a VM, by the number of rules. */
export const catalogByRules: Measurement = {
  name: 'catalog-rules',
  by: 'rules',
  sizes: [1000, 10_000, 110_000],
  quickSizes: [10, 20, 40],
  run: count => {
    const change = sampleRulesetChange(count)
    const { bytes, value: catalog } = measureHeap(() => createFilledCatalog([sampleRulesetChange(count)], 'rulesets'))
    return [
      { measure: 'heap', unit: 'B', value: bytes },
      { measure: 'find', unit: 'us', value: measureTime(iteration => catalog.rules().find(`host-${iteration % 1000}.example`, `/path-${iteration % count}/x`)) },
      { measure: 'replace', unit: 'us', value: measureTime(() => createFilledCatalog([change], 'rulesets')) }
    ]
  }
}

/** Placement of one request and release of its slot, by the number of targets. */
export const placingByTargets: Measurement = {
  name: 'placing-targets',
  by: 'targets',
  sizes: [8, 32, 128, 512],
  quickSizes: [2, 4, 8],
  run: count => {
    const loadBalancer = createLoadBalancer({
      self: 'vm-1',
      zone: 'zone-0',
      catalog: createFilledCatalog(sampleListings(count), 'listings'),
      mesh: EMPTY_MESH,
      servingVMs: () => ['vm-1'],
      zonePeers: () => [],
      otherZoneVMs: () => [],
      retryShare: () => 1,
      retries: () => ({ ratio: 0.2, windowMs: 10_000, slack: 64 }),
      observe: () => {},
      random: Math.random,
      log: SILENT_LOG,
      clock: () => performance.now()
    })
    const placeRequest = (iteration: number): void => {
      const now = performance.now()
      const slotRequest = {
        service: SERVICE,
        class: 'read',
        caller: 'c',
        requestId: 'r',
        deadlineAt: now + 1000,
        objectiveAt: now + 500,
        idempotent: iteration % 2 === 0,
        priority: 1,
        avoid: new Set<string>(),
        avoidPlaces: new Set<string>()
      }
      Effect.runSync(loadBalancer.acquire(slotRequest, now)).release({
        requestId: 'r', service: SERVICE, target: '', class: 'read', result: 'answered', latencyMs: 1, fingerprint: ''
      }, now)
    }
    return [{ measure: 'place', unit: 'us', value: measureTime(placeRequest) }]
  }
}

/** Processor time for the log lines of one second, by the number of lines, up to the writer's limit of 300 lines/s. */
export const logByLineRate: Measurement = {
  name: 'log-lines',
  by: 'lines/s',
  sizes: [30, 100, 300],
  quickSizes: [10, 20, 40],
  run: count => {
    let now = 0
    const discard = new Writable({ write: (_chunk, _encoding, done) => { done() } })
    const log = createLog({ vm: 'vm-1' }, createBoundedWriter(discard, () => now))
    const writeSecond = (): void => {
      now += 1000
      for (let index = 0; index < count; index++) log.info('verdict.heard', { target: 'i-0000000001', from: 'vm-2', failed: true })
    }
    return [{ measure: 'second', unit: 'us', value: measureTime(writeSecond) }]
  }
}
