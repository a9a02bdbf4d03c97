/** Observes a running fleet from outside: ejections, breaches of the floor, and when a target stops receiving work. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { RunningFleet } from './fleet.js'

const FLEET_SAMPLE_MS = 200
const TARGET_SAMPLE_MS = 25
/** A target that receives no new work for this time counts as out of service. */
const IDLE_TIME_MS = 1000

/** States in which the fleet has removed a target from the capacity. */
const EJECTED_STATES: ReadonlySet<string> = new Set(['ejected', 'probation'])

interface ExplainedService {
  readonly decisions?: {
    readonly floor: { readonly floor: number }
    readonly leads: boolean
    readonly leadsForMs?: number
    readonly targets: ReadonlyArray<{ readonly target: string, readonly slots: number, readonly state: string }>
  }
}

/** Results of a watch. */
export interface Findings {
  /** Targets that were ejected in the view of at least one VM. */
  readonly ejected: ReadonlySet<string>
  /** Number of samples in which the targets that no VM had ejected provided less capacity than the floor. */
  readonly floorBreaches: number
  /** Number of samples in which a service had more than one coordinator at the same time. */
  readonly secondCoordinators: number
}

/** A running watch. */
export interface Watch {
  readonly stop: () => Promise<Findings>
}

/** One sample of a service, combined from the views of all VMs. */
interface Sample {
  readonly ejected: readonly string[]
  readonly isBreach: boolean
  readonly hasSecondCoordinator: boolean
}

async function sampleService (fleet: RunningFleet, service: string): Promise<Sample> {
  const startedAt = performance.now()
  const responses = await Promise.all(fleet.layout.vms.map(async vm => await fleet.operators(vm, 'GET', `/v1/explain/service/${service}`)))
  const views = responses.flatMap(response => response.isOk() ? (response.value as ExplainedService).decisions ?? [] : [])
  // The views are from different times. Only VMs that led for longer than the sample took certainly led at the same time.
  const sampleMs = performance.now() - startedAt
  const leaders = views.filter(({ leads, leadsForMs = 0 }) => leads && leadsForMs > sampleMs)
  const targets = views.flatMap(view => view.targets)
  const ejected = [...new Set(targets.filter(target => EJECTED_STATES.has(target.state)).map(target => target.target))]
  const slots = new Map(targets.map(target => [target.target, target.slots]))
  const healthy = [...slots].reduce((sum, [target, count]) => ejected.includes(target) ? sum : sum + count, 0)
  const floor = Math.max(0, ...views.map(view => view.floor.floor))
  return { ejected, isBreach: views.length > 0 && healthy < floor, hasSecondCoordinator: leaders.length > 1 }
}

/** Samples the views that all VMs have of the services, several times per second. */
export function watchFleet (fleet: RunningFleet, services: readonly string[]): Watch {
  const stopping = new AbortController()
  let floorBreaches = 0
  let secondCoordinators = 0
  const ejected = new Set<string>()
  const run = async (): Promise<void> => {
    while (!stopping.signal.aborted) {
      for (const service of services) {
        const sample = await sampleService(fleet, service)
        sample.ejected.forEach(target => ejected.add(target))
        if (sample.isBreach) floorBreaches++
        if (sample.hasSecondCoordinator) secondCoordinators++
      }
      await sleep(FLEET_SAMPLE_MS)
    }
  }
  const running = run()
  return {
    stop: async () => {
      stopping.abort()
      await running
      return { ejected, floorBreaches, secondCoordinators }
    }
  }
}

/**
 * Measures for how long a target still receives work.
 *
 * @returns time in ms from the call to the last work before a pause of 1 s, or undefined if there is no such pause within the limit
 */
export async function measureDetection (fleet: RunningFleet, target: string, limitMs: number): Promise<number | undefined> {
  const startedAt = performance.now()
  let arrived = (await fleet.tally(target)).arrived
  let lastWorkAt = startedAt
  while (performance.now() - startedAt < limitMs) {
    await sleep(TARGET_SAMPLE_MS)
    const tally = await fleet.tally(target)
    if (tally.arrived !== arrived) {
      arrived = tally.arrived
      lastWorkAt = performance.now()
    } else if (performance.now() - lastWorkAt >= IDLE_TIME_MS) return Math.round(lastWorkAt - startedAt)
  }
  return undefined
}

/** Measures the time in ms from the submission of a release note until every VM has it; undefined if that takes longer than the limit. */
export async function measureNoteInForce (fleet: RunningFleet, revision: number, submittedAt: number, limitMs: number): Promise<number | undefined> {
  const waiting = new Set(fleet.layout.vms)
  while (waiting.size > 0) {
    if (performance.now() - submittedAt > limitMs) return undefined
    for (const vm of waiting) {
      const response = await fleet.operators(vm, 'GET', '/v1/configuration')
      if (response.isOk() && (response.value as { revision: number }).revision >= revision) waiting.delete(vm)
    }
  }
  return Math.round(performance.now() - submittedAt)
}
