/** Faults and loads under which both sides serve real requests. */
import type { Faults } from '../../stand-ins/platform/index.js'
import type { RequestKind } from '../../stand-ins/caller/index.js'
import type { TargetStandIn } from '../../stand-ins/target/index.js'
import { PATH, type ServicePlan } from './side.js'

/** What the faults of a scenario act on. */
export interface Stage {
  readonly targets: readonly TargetStandIn[]
  readonly setPlatformFaults: (faults: Partial<Faults>) => void
  /** Resolves at this part of the load's duration. */
  readonly until: (part: number) => Promise<void>
}

/** A service, a load and faults. */
export interface RequestScenario {
  readonly name: string
  readonly service: ServicePlan
  readonly kinds: readonly RequestKind[]
  readonly ratePerSecond: number
  /** Kinds of requests in `answeredShare`; a request that crashes its target has no answer on any side. */
  readonly counted: (kind: string) => boolean
  /** Switches faults on and off while the load runs. */
  readonly play: (stage: Stage) => Promise<void>
}

const DEADLINE_MS = 1500
const RATE_PER_SECOND = 80
const CRASH_TEXT = 'crash-7'
/** Time that a crashed target is down. */
const DOWN_MS = 300
const TRUNCATED_SHARE = 0.1
const LOST_WRITE_EVERY = 3

const read: RequestKind = {
  name: 'read', weight: 1, method: 'GET', path: `${PATH}/7`, idempotent: true, key: false, bodyBytes: 0, responseBytes: 2000, deadlineMs: DEADLINE_MS
}
const order: RequestKind = {
  name: 'order', weight: 1, method: 'POST', path: PATH, idempotent: false, key: true, bodyBytes: 200, responseBytes: 300, deadlineMs: DEADLINE_MS
}
/** A request that crashes each target that runs it; its callers repeat it. */
const crash: RequestKind = { ...read, name: 'crash', weight: 0.05, path: `${PATH}/${CRASH_TEXT}` }

const service: ServicePlan = { targets: 6, slots: 4, meanMs: 20, floor: 16, preference: 'detection', deadlineMs: DEADLINE_MS }

const common = { service, kinds: [read, order], ratePerSecond: RATE_PER_SECOND, counted: () => true }

/** The part of the targets with even index. */
const everyOther = (targets: readonly TargetStandIn[]): readonly TargetStandIn[] => targets.filter((_, index) => index % 2 === 0)

export const scenarios: readonly RequestScenario[] = [
  {
    ...common,
    name: 'crashing-request',
    kinds: [read, order, crash],
    counted: kind => kind !== crash.name,
    play: async ({ targets }) => {
      for (const target of targets) target.setFault({ kind: 'crash-on', text: CRASH_TEXT, downMs: DOWN_MS, exit: false })
    }
  },
  {
    ...common,
    name: 'silent-connections',
    play: async ({ targets, until }) => {
      for (const part of [0.3, 0.6]) {
        await until(part)
        for (const target of everyOther(targets)) target.setFault({ kind: 'silent' })
      }
    }
  },
  {
    ...common,
    name: 'truncated-answers',
    play: async ({ targets }) => {
      for (const target of targets) target.setFault({ kind: 'truncated', share: TRUNCATED_SHARE })
    }
  },
  {
    ...common,
    // A target restarts several times as well, since a version without a platform meets no lost acknowledgement.
    name: 'lost-acknowledgement',
    play: async ({ targets, setPlatformFaults, until }) => {
      setPlatformFaults({ loseAcknowledgementEvery: LOST_WRITE_EVERY })
      for (const [index, part] of [0.2, 0.4, 0.6, 0.8].entries()) {
        await until(part)
        targets[index]?.setFault({ kind: 'crash', downMs: DOWN_MS })
      }
      await until(1)
      setPlatformFaults({})
    }
  },
  {
    name: 'small-pool',
    service: { targets: 8, slots: 2, meanMs: 40, floor: 10, preference: 'accuracy', deadlineMs: DEADLINE_MS },
    kinds: [{ ...order, name: 'certificate', weight: 3 }, read],
    ratePerSecond: 120,
    counted: () => true,
    play: async ({ targets, until }) => {
      await until(0.25)
      targets[0]?.setFault({ kind: 'error-gray', share: 1 })
      targets[1]?.setFault({ kind: 'straggler', factor: 8 })
      await until(0.5)
      targets[2]?.setFault({ kind: 'crash', downMs: DOWN_MS })
    }
  }
]
