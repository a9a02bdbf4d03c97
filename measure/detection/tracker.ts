/** Counts ejections and attempts during a run, in the same way for the design and the baseline. */
import type { Scenario } from './scenario.js'

/** Measured values of one run. */
export interface RunResult {
  /** Time until nearly all VMs had ejected the unhealthy target, in ms; the horizon if they never did. */
  readonly detectionMs: number | undefined
  /** Ejections of healthy targets, as a fraction of the fleet: 1 if every VM ejected one target once. */
  readonly falseEjections: number
  /** Number of times that the ejections of all VMs together reduced the capacity below the floor. */
  readonly floorBreaches: number
  /** Attempts that started while all slots of the target were in use. */
  readonly overSlots: number
  /** Attempts at the unhealthy target after the start of the fault. */
  readonly unhealthyWork: number
  /** Requests that found no slot in time. */
  readonly refused: number
}

/** A target counts as detected when at most this fraction of the VMs still uses it. */
const MAX_REMAINING_FRACTION = 0.1

/** Records the events of one run. */
export interface Tracker {
  /** @param isEjected returns true if a VM has ejected a target */
  readonly sample: (isEjected: (target: number, vm: number) => boolean, sinceFaultMs: number) => void
  readonly attemptStarted: (target: number, sinceFaultMs: number) => void
  readonly attemptEnded: (target: number) => void
  readonly requestRefused: () => void
  readonly result: (horizonMs: number) => RunResult
}

/** Creates a tracker for a run with `vms` VMs. */
export function createTracker (scenario: Scenario, vms: number): Tracker {
  const ejected = new Set<number>()
  const running = new Array<number>(scenario.targets).fill(0)
  let detectionMs: number | undefined
  let falseEjections = 0
  let floorBreaches = 0
  let wasBelowFloor = false
  let overSlots = 0
  let unhealthyWork = 0
  let refused = 0
  return {
    sample: (isEjected, sinceFaultMs) => {
      let ejectedAnywhere = 0
      for (let target = 0; target < scenario.targets; target++) {
        let ejectingVMs = 0
        for (let vm = 0; vm < vms; vm++) {
          const key = target * vms + vm
          const isEjectedNow = isEjected(target, vm)
          if (isEjectedNow) ejectingVMs += 1
          if (isEjectedNow && !ejected.has(key) && !scenario.isUnhealthy(target, vm)) falseEjections += 1 / vms
          if (isEjectedNow) ejected.add(key)
          else ejected.delete(key)
        }
        if (ejectingVMs > 0) ejectedAnywhere += 1
        if (target === scenario.detect && sinceFaultMs >= 0 && vms - ejectingVMs <= vms * MAX_REMAINING_FRACTION) detectionMs ??= sinceFaultMs
      }
      const isBelowFloor = ejectedAnywhere > 0 && (scenario.targets - ejectedAnywhere) * scenario.slots < scenario.floor
      if (isBelowFloor && !wasBelowFloor) floorBreaches += 1
      wasBelowFloor = isBelowFloor
    },
    attemptStarted: (target, sinceFaultMs) => {
      if ((running[target] ?? 0) >= scenario.slots) overSlots += 1
      running[target] = (running[target] ?? 0) + 1
      if (sinceFaultMs >= 0 && target === scenario.detect) unhealthyWork += 1
    },
    attemptEnded: target => { running[target] = (running[target] ?? 0) - 1 },
    requestRefused: () => { refused += 1 },
    result: horizonMs => ({
      detectionMs: scenario.detect === undefined ? undefined : detectionMs ?? horizonMs,
      falseEjections,
      floorBreaches,
      overSlots,
      unhealthyWork,
      refused
    })
  }
}
