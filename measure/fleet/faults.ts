/** Fault schedules for a fleet: partitions, message loss and delay, pauses and restarts of VMs. */
import type { Fleet } from './fleet.js'

/** A fault to inject. */
export interface Fault {
  readonly kind: 'cut-one-way' | 'isolate' | 'pause' | 'restart' | 'leave' | 'loss' | 'delay' | 'heal'
  /** Time since the previous fault, in ms. */
  readonly afterMs: number
  /** Index of the VM, taken modulo the number of VMs. */
  readonly vm: number
  /** Index of the VM at the other end of a one-way cut, taken modulo the number of VMs. */
  readonly other: number
  /** Duration of a pause, in ms. Link faults last until `heal`. */
  readonly pauseMs: number
}

/** A running schedule. */
export interface Schedule {
  /** Applies the faults that are due and resumes VMs; returns false when nothing is left to do. */
  readonly apply: () => boolean
}

const LOSS_RATE = 0.3
const DELAY_MS = 1_500

function applyFault (fleet: Fleet, fault: Fault): void {
  const names = fleet.vms.map(({ name }) => name)
  const vm = names[fault.vm % names.length] ?? ''
  const other = names[fault.other % names.length] ?? ''
  const isolate = (): void => {
    for (const name of names) {
      fleet.network.cut(vm, name)
      fleet.network.cut(name, vm)
    }
  }
  switch (fault.kind) {
    case 'cut-one-way': return fleet.network.cut(vm, other)
    case 'isolate': return isolate()
    case 'pause': return fleet.pause(vm)
    case 'restart': return fleet.restart(vm)
    case 'leave': return fleet.vms[fault.vm % names.length]?.coordination().leave(fleet.now())
    case 'loss': return fleet.network.setImpairment(LOSS_RATE, 0)
    case 'delay': return fleet.network.setImpairment(0, DELAY_MS)
    case 'heal':
      fleet.network.healAll()
      fleet.network.setImpairment(0, 0)
  }
}

/** Starts a schedule at the fleet's current time. */
export function createSchedule (fleet: Fleet, faults: readonly Fault[]): Schedule {
  let dueAt = fleet.now()
  const due = faults.map(fault => ({ fault, at: (dueAt += fault.afterMs) }))
  const resumeTimes = new Map<string, number>()
  let next = 0
  return {
    apply: () => {
      for (let entry = due[next]; entry !== undefined && entry.at <= fleet.now(); entry = due[++next]) {
        const vm = fleet.vms[entry.fault.vm % fleet.vms.length]
        // A paused process cannot leave.
        if (entry.fault.kind === 'leave' && vm?.isPaused() === true) continue
        applyFault(fleet, entry.fault)
        if (entry.fault.kind === 'pause' && vm !== undefined) resumeTimes.set(vm.name, fleet.now() + entry.fault.pauseMs)
      }
      for (const [vm, at] of resumeTimes) {
        if (fleet.now() < at) continue
        fleet.resume(vm)
        resumeTimes.delete(vm)
      }
      return next < due.length || resumeTimes.size > 0
    }
  }
}
