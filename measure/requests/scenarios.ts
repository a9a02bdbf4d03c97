/** Services, loads and faults that the design and the baseline are compared under. */
import type { Faults } from '../../stand-ins/platform/index.js'
import type { RequestKind } from '../../stand-ins/caller/index.js'
import type { TargetStandIn } from '../../stand-ins/target/index.js'
import { PATH, type ServiceSpec } from './system-under-test.js'

/** Targets and platform that a scenario injects faults into. */
export interface FaultContext {
  readonly targets: readonly TargetStandIn[]
  readonly setPlatformFaults: (faults: Partial<Faults>) => void
  /** Resolves after a fraction of the load's duration. */
  readonly waitUntil: (fraction: number) => Promise<void>
}

/** Service, load and faults of one comparison. */
export interface RequestScenario {
  readonly name: string
  readonly service: ServiceSpec
  readonly kinds: readonly RequestKind[]
  readonly ratePerSecond: number
  /** Selects the kinds in `answeredShare`. A request that crashes its target gets a response from no system. */
  readonly isCounted: (kind: string) => boolean
  /** Injects and clears faults while the load runs. */
  readonly injectFaults: (context: FaultContext) => Promise<void>
}

const DEADLINE_MS = 1500
const RATE_PER_SECOND = 80
const CRASH_TEXT = 'crash-7'
/** Time until a crashed target restarts. */
const DOWNTIME_MS = 300
const TRUNCATED_SHARE = 0.1
const LOST_ACKNOWLEDGEMENT_EVERY = 3

const read: RequestKind = {
  name: 'read', weight: 1, method: 'GET', path: `${PATH}/7`, idempotent: true, key: false, bodyBytes: 0, responseBytes: 2000, deadlineMs: DEADLINE_MS
}
const order: RequestKind = {
  name: 'order', weight: 1, method: 'POST', path: PATH, idempotent: false, key: true, bodyBytes: 200, responseBytes: 300, deadlineMs: DEADLINE_MS
}
/** Request that crashes each target that runs it, and that its callers retry. */
const crash: RequestKind = { ...read, name: 'crash', weight: 0.05, path: `${PATH}/${CRASH_TEXT}` }

const service: ServiceSpec = { targets: 6, slots: 4, meanMs: 20, floor: 16, preference: 'detection', deadlineMs: DEADLINE_MS }

const commonScenario = { service, kinds: [read, order], ratePerSecond: RATE_PER_SECOND, isCounted: () => true }

/** Returns every second target. */
const targetsWithEvenIndex = (targets: readonly TargetStandIn[]): readonly TargetStandIn[] => targets.filter((_, index) => index % 2 === 0)

export const scenarios: readonly RequestScenario[] = [
  {
    ...commonScenario,
    name: 'crashing-request',
    kinds: [read, order, crash],
    isCounted: kind => kind !== crash.name,
    injectFaults: async ({ targets }) => {
      for (const target of targets) target.setFault({ kind: 'crash-on', text: CRASH_TEXT, downMs: DOWNTIME_MS, exit: false })
    }
  },
  {
    ...commonScenario,
    name: 'silent-connections',
    injectFaults: async ({ targets, waitUntil }) => {
      for (const fraction of [0.3, 0.6]) {
        await waitUntil(fraction)
        for (const target of targetsWithEvenIndex(targets)) target.setFault({ kind: 'silent' })
      }
    }
  },
  {
    ...commonScenario,
    name: 'truncated-answers',
    injectFaults: async ({ targets }) => {
      for (const target of targets) target.setFault({ kind: 'truncated', share: TRUNCATED_SHARE })
    }
  },
  {
    ...commonScenario,
    // Targets also crash in turn, because the baseline has no platform and cannot lose an acknowledgement.
    name: 'lost-acknowledgement',
    injectFaults: async ({ targets, setPlatformFaults, waitUntil }) => {
      setPlatformFaults({ loseAcknowledgementEvery: LOST_ACKNOWLEDGEMENT_EVERY })
      for (const [index, fraction] of [0.2, 0.4, 0.6, 0.8].entries()) {
        await waitUntil(fraction)
        targets[index]?.setFault({ kind: 'crash', downMs: DOWNTIME_MS })
      }
      await waitUntil(1)
      setPlatformFaults({})
    }
  },
  {
    name: 'small-pool',
    service: { targets: 8, slots: 2, meanMs: 40, floor: 10, preference: 'accuracy', deadlineMs: DEADLINE_MS },
    kinds: [{ ...order, name: 'certificate', weight: 3 }, read],
    ratePerSecond: 120,
    isCounted: () => true,
    injectFaults: async ({ targets, waitUntil }) => {
      await waitUntil(0.25)
      targets[0]?.setFault({ kind: 'error-gray', share: 1 })
      targets[1]?.setFault({ kind: 'straggler', factor: 8 })
      await waitUntil(0.5)
      targets[2]?.setFault({ kind: 'crash', downMs: DOWNTIME_MS })
    }
  }
]
