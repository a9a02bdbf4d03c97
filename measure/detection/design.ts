/** Run of a scenario with the coordinated VMs of a subset. */
import type { Demand, Observation } from '../../src/model/index.js'
import { createFleet, STEP_MS } from '../fleet/fleet.js'
import { createRandom, exponential } from '../random.js'
import {
  outcomeOf, CLASS, configurationOf, HORIZON_MS, SERVICE, targetId, WARM_UP_MS, type Outcome, type Scenario
} from './scenario.js'
import { createTracker, type RunResult } from './tracker.js'

const SAMPLE_INTERVAL_MS = 50
const MAX_WAIT_MS = 500

interface RunningRequest {
  readonly endsAt: number
  readonly vm: number
  readonly target: number
  readonly outcome: Outcome
}

interface WaitingRequest {
  readonly vm: number
  readonly expiresAt: number
}

/**
 * Runs a scenario once.
 *
 * Requests are spread evenly over the VMs of the subset and sent to a random
 * target with a free slot. VMs do not avoid targets on their own and do not
 * retry, so that only ejections keep requests from an unhealthy target.
 */
export function runDesign (scenario: Scenario, seed: number): RunResult {
  const random = createRandom(seed)
  const names = Array.from({ length: scenario.subset }, (_, i) => `vm-${i}`)
  const ids = Array.from({ length: scenario.targets }, (_, i) => targetId(i))
  const inUse = names.map(() => new Map<string, number>())
  const configuration = configurationOf(scenario)
  const tracker = createTracker(scenario, names.length)
  let running: RunningRequest[] = []
  let waiting: WaitingRequest[] = []

  const demandOf = (name: string): Demand => {
    const index = names.indexOf(name)
    return {
      inUse: (_, target) => inUse[index]?.get(target) ?? 0,
      waiting: () => waiting.filter(({ vm }) => vm === index).length
    }
  }
  const fleet = createFleet({ names, configuration: () => configuration, demandOf, random: createRandom(seed + 1) })
  const startedAt = fleet.now()
  const sinceFault = (): number => fleet.now() - startedAt - WARM_UP_MS
  const changeInUse = (vm: number, target: number, change: number): void => {
    const id = ids[target] ?? ''
    inUse[vm]?.set(id, (inUse[vm]?.get(id) ?? 0) + change)
  }
  const isCrashed = (vm: number): boolean => fleet.vms[vm]?.isPaused() === true
  const crashCoordinator = (): void => {
    if (scenario.coordinatorCrashMs === undefined || sinceFault() < scenario.coordinatorCrashMs || names.some((_, vm) => isCrashed(vm))) return
    const coordinator = fleet.vms.findIndex(vm => vm.coordination().explain(SERVICE, undefined, fleet.now())?.['leads'] === true)
    running = running.filter(({ vm, target }) => {
      if (vm === coordinator) tracker.attemptEnded(target)
      return vm !== coordinator
    })
    waiting = waiting.filter(({ vm }) => vm !== coordinator)
    fleet.pause(names[coordinator] ?? '')
  }
  /** Picks a random live VM: callers of a crashed VM use another one. */
  const pickVM = (): number => {
    const live = names.flatMap((_, vm) => isCrashed(vm) ? [] : [vm])
    return live[Math.floor(random() * live.length)] ?? 0
  }
  /** Starts a request at a target with a free slot; returns false if there is none. */
  const tryStart = (vm: number): boolean => {
    const shares = fleet.vms[vm]?.coordination().shares
    if (shares === undefined) return false
    const free = ids.flatMap((id, target) => shares.limit(SERVICE, id, fleet.now()) > (inUse[vm]?.get(id) ?? 0) ? [target] : [])
    const target = free[Math.floor(random() * free.length)]
    if (target === undefined) return false
    changeInUse(vm, target, 1)
    tracker.attemptStarted(target, sinceFault())
    const outcome = outcomeOf(scenario, { target, vm, sinceFaultMs: sinceFault(), random })
    running.push({ endsAt: fleet.now() + outcome.latencyMs, vm, target, outcome })
    return true
  }
  const finishRequest = ({ vm, target, outcome }: RunningRequest): void => {
    changeInUse(vm, target, -1)
    tracker.attemptEnded(target)
    const observation: Observation = { service: SERVICE, target: ids[target] ?? '', class: CLASS, fingerprint: '', ...outcome }
    fleet.observe(names[vm] ?? '', observation)
  }
  const finishDue = (): void => {
    const due = running.filter(({ endsAt }) => endsAt <= fleet.now())
    running = running.filter(({ endsAt }) => endsAt > fleet.now())
    for (const request of due) finishRequest(request)
  }
  const retryWaiting = (): void => {
    const before = waiting
    waiting = []
    for (const request of before) {
      if (tryStart(request.vm)) continue
      if (fleet.now() >= request.expiresAt) tracker.requestRefused()
      else waiting.push(request)
    }
  }
  let nextArrivalAt = fleet.now()
  const admitArrivals = (): void => {
    for (; nextArrivalAt <= fleet.now(); nextArrivalAt += exponential(random, scenario.ratePerSecond)) {
      const vm = pickVM()
      if (!tryStart(vm)) waiting.push({ vm, expiresAt: fleet.now() + MAX_WAIT_MS })
    }
  }
  const sample = (): void => {
    const excluded = fleet.vms.map(vm => {
      const { shares } = vm.coordination()
      return new Set([...shares.ejected(SERVICE, fleet.now()), ...shares.probation(SERVICE, fleet.now())])
    })
    // A crashed VM uses no target: it counts as one that ejected the unhealthy targets and no others.
    tracker.sample((target, vm) => isCrashed(vm) ? scenario.isUnhealthy(target, vm) : excluded[vm]?.has(ids[target] ?? '') === true, sinceFault())
  }
  while (sinceFault() < HORIZON_MS) {
    fleet.step()
    crashCoordinator()
    finishDue()
    retryWaiting()
    admitArrivals()
    if ((fleet.now() - startedAt) % SAMPLE_INTERVAL_MS < STEP_MS) sample()
  }
  return tracker.result(HORIZON_MS)
}
