/** Guards against retries of all VMs together that exceed the allowance while VMs start, stop and disagree about who serves. */
import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createRetryBudget, type RetryBudget } from './retry-budget.js'
import { createRetryShare, type RetryShare, type ServingCount } from './retry-share.js'

const test = suite('retry share')
const SEED = 20_261_205
const LIMITS = { ratio: 0.2, windowMs: 10_000, slack: 62 } as const
const STEP_MS = 250
const VMS = 12

interface ShareCase {
  readonly name: string
  /** Views in the order of their times. */
  readonly views: ReadonlyArray<readonly [at: number, view: ServingCount]>
  readonly share: number
}

const cases: readonly ShareCase[] = [
  { name: 'a VM that starts to serve has a small part', views: [[0, { isServing: true, vms: 6 }], [9999, { isServing: true, vms: 6 }]], share: 0.1 / 6 },
  { name: 'a VM that has served for a window has its part', views: [[0, { isServing: true, vms: 6 }], [10_000, { isServing: true, vms: 6 }]], share: 1 / 6 },
  { name: 'a VM that does not serve has no part', views: [[0, { isServing: true, vms: 6 }], [10_000, { isServing: false, vms: 6 }]], share: 0 },
  { name: 'an interruption starts the window anew', views: [[0, { isServing: true, vms: 6 }], [5000, { isServing: false, vms: 6 }], [10_000, { isServing: true, vms: 6 }]], share: 0.1 / 6 },
  { name: 'VMs that served within the window still count', views: [[0, { isServing: true, vms: 6 }], [5000, { isServing: true, vms: 9 }], [10_000, { isServing: true, vms: 3 }]], share: 1 / 9 },
  { name: 'VMs that served before the window do not count', views: [[0, { isServing: true, vms: 9 }], [12_000, { isServing: true, vms: 3 }]], share: 1 / 3 }
]

for (const { name, views, share } of cases) {
  test(name, () => {
    const shares = createRetryShare(() => LIMITS.windowMs)
    assert.is(views.map(([at, view]) => shares.at(view, at)).at(-1), share)
  })
}

/** What happens to the fleet at one step. */
interface Event {
  readonly step: number
  readonly vm: number
  readonly kind: 'start' | 'stop' | 'restart'
}

interface FleetVM {
  budget: RetryBudget
  share: RetryShare
  isServing: boolean
}

/** Totals of one step. */
interface Step {
  requests: number
  retries: number
}

/** Plays a service whose every request fails: each serving VM gets requests and retries them while its budget allows. */
function play (steps: number, initial: number, events: readonly Event[], requestsPerStep: number): readonly Step[] {
  const createVM = (isServing: boolean): FleetVM => ({ budget: createRetryBudget(() => LIMITS), share: createRetryShare(() => LIMITS.windowMs), isServing })
  const vms = Array.from({ length: VMS }, (_, index) => createVM(index < initial))
  const totals: Step[] = []
  for (let step = 0; step < steps; step++) {
    const now = step * STEP_MS
    for (const { vm, kind } of events.filter(event => event.step === step)) vms[vm] = createVM(kind !== 'stop')
    const count = vms.filter(({ isServing }) => isServing).length
    const total: Step = { requests: 0, retries: 0 }
    for (const { budget, share, isServing } of vms) {
      const part = share.at({ isServing, vms: count }, now)
      if (!isServing) continue
      for (let request = 0; request < requestsPerStep; request++) {
        budget.deposit(now)
        total.requests++
        while (budget.tryWithdraw(part, now)) total.retries++
      }
    }
    totals.push(total)
  }
  return totals
}

const WINDOW_STEPS = LIMITS.windowMs / STEP_MS
const sumOf = (totals: readonly Step[], end: number, key: keyof Step): number =>
  totals.slice(Math.max(0, end - WINDOW_STEPS), Math.max(0, end)).reduce((sum, total) => sum + total[key], 0)

/** Largest part of the allowance that was used in any window; requests count in the window or in the one before, as callers see it. */
function mostUsed (totals: readonly Step[]): number {
  let most = 0
  for (let end = 1; end <= totals.length; end++) {
    const requests = Math.max(sumOf(totals, end, 'requests'), sumOf(totals, end - WINDOW_STEPS / 2, 'requests'), sumOf(totals, end - WINDOW_STEPS, 'requests'))
    most = Math.max(most, sumOf(totals, end, 'retries') / (LIMITS.ratio * requests + LIMITS.slack))
  }
  return most
}

test(`the VMs of a fleet that changes never exceed the allowance together (seed ${SEED})`, () => {
  const event: fc.Arbitrary<Event> = fc.record({ step: fc.nat(159), vm: fc.nat(VMS - 1), kind: fc.constantFrom('start', 'stop', 'restart') })
  fc.assert(fc.property(fc.array(event, { maxLength: 60 }), fc.integer({ min: 0, max: VMS }), fc.nat(2), (events, initial, requests) => {
    assert.ok(mostUsed(play(160, initial, events, requests)) <= 1)
  }), { seed: SEED, numRuns: 300 })
})

test('a rolling restart of all VMs does not exceed the allowance', () => {
  const events = Array.from({ length: VMS }, (_, vm): Event => ({ step: 60 + 4 * vm, vm, kind: 'restart' }))
  assert.ok(mostUsed(play(160, VMS, events, 1)) <= 1)
})

test('a fleet that does not change uses most of the allowance', () => {
  const used = mostUsed(play(160, 6, [], 1))
  assert.ok(used > 0.5 && used <= 1, `${used}`)
})

test.run()
