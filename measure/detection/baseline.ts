/**
 * Run of a scenario with the baseline: each of 48 VMs has its own circuit
 * breakers, which open after consecutive failures, and the VMs do not coordinate.
 */
import { createRandom, exponential } from '../random.js'
import { outcomeOf, HORIZON_MS, WARM_UP_MS, type Outcome, type Scenario } from './scenario.js'
import { createTracker, type RunResult } from './tracker.js'

const VMS = 48
const FAILURES_TO_EJECT = 5
const FIRST_EJECTION_MS = 10_000
const STEP_MS = 10
const SAMPLE_INTERVAL_MS = 50

interface CircuitBreaker {
  failures: number
  ejections: number
  openUntil: number
}

interface RunningRequest {
  readonly endsAt: number
  readonly vm: number
  readonly target: number
  readonly outcome: Outcome
}

/** Runs a scenario once, with the same arrival rate and targets as the design. */
export function runBaseline (scenario: Scenario, seed: number): RunResult {
  const random = createRandom(seed)
  const breakers: readonly CircuitBreaker[] = Array.from({ length: VMS * scenario.targets }, () => ({ failures: 0, ejections: 0, openUntil: -Infinity }))
  const tracker = createTracker(scenario, VMS)
  let now = -WARM_UP_MS
  let nextArrivalAt = now
  let running: RunningRequest[] = []

  const breakerOf = (target: number, vm: number): CircuitBreaker => breakers[vm * scenario.targets + target] ?? { failures: 0, ejections: 0, openUntil: 0 }
  const isEjected = (target: number, vm: number): boolean => now < breakerOf(target, vm).openUntil
  const startRequest = (): void => {
    const vm = Math.floor(random() * VMS)
    const all = Array.from({ length: scenario.targets }, (_, target) => target)
    const usable = all.filter(target => !isEjected(target, vm))
    const candidates = usable.length > 0 ? usable : all
    const target = candidates[Math.floor(random() * candidates.length)] ?? 0
    tracker.attemptStarted(target, now)
    const outcome = outcomeOf(scenario, { target, vm, sinceFaultMs: now, random })
    running.push({ endsAt: now + outcome.latencyMs, vm, target, outcome })
  }
  const finishRequest = ({ vm, target, outcome }: RunningRequest): void => {
    tracker.attemptEnded(target)
    const breaker = breakerOf(target, vm)
    breaker.failures = outcome.result === 'answered' ? 0 : breaker.failures + 1
    if (breaker.failures < FAILURES_TO_EJECT) return
    breaker.failures = 0
    breaker.openUntil = now + FIRST_EJECTION_MS * 2 ** breaker.ejections
    breaker.ejections += 1
  }
  for (; now < HORIZON_MS; now += STEP_MS) {
    const due = running.filter(({ endsAt }) => endsAt <= now)
    running = running.filter(({ endsAt }) => endsAt > now)
    for (const request of due) finishRequest(request)
    for (; nextArrivalAt <= now; nextArrivalAt += exponential(random, scenario.ratePerSecond)) startRequest()
    if (now % SAMPLE_INTERVAL_MS === 0) tracker.sample(isEjected, now)
  }
  return tracker.result(HORIZON_MS)
}
