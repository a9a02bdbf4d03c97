/**
 * Checks the invariants of the membership in random schedules of faults. The seed
 * is fixed; `MEMBERSHIP_SEED=… MEMBERSHIP_RUNS=…` runs others.
 */
import fc from 'fast-check'
import { suite } from 'uvu'
import { actionOf, runAction, reachableFrom, type Action } from '../../tests/support/fault-schedule.js'
import { createFleet, type Fleet } from '../../tests/support/fleet.js'

const properties = suite('membership under random faults')

const SEED = Number(process.env['MEMBERSHIP_SEED'] ?? 20_262)
const RUNS = Number(process.env['MEMBERSHIP_RUNS'] ?? 40)
const VM_COUNT = 5
const CONTACT_MS = 3000
/** Time after the last fault until each view is correct: 2.5 s until a link closes, 3 s of contact, and propagation. */
const SETTLED_MS = 7000

/** Earlier observations that the checks need. */
interface Observations {
  changedAt: number
  /** Latest time at which each VM ran. */
  readonly ranAt: Map<string, number>
  /** Latest incarnation of each VM that an observer knew. */
  readonly incarnations: Map<string, string>
}

/** Majority contact requires that more than half of the VMs ran within the contact timeout. */
function checkMajorityContact (fleet: Fleet, past: Observations): void {
  const now = fleet.schedule.now()
  const ran = [...past.ranAt.values()].filter(at => now - at <= CONTACT_MS).length
  for (const { process: vmProcess, membership } of fleet.running()) {
    if (membership.hasMajorityContact(now) && 2 * ran <= VM_COUNT) throw new Error(`${vmProcess.vm.name} has majority contact, but only ${ran} VMs ran (t=${now})`)
  }
}

/** After a while without changes, each view must show exactly the reachable VMs as live. */
function checkSettled (fleet: Fleet, past: Observations): void {
  const now = fleet.schedule.now()
  if (now - past.changedAt < SETTLED_MS) return
  for (const { process: vmProcess, membership } of fleet.running()) {
    const reachable = reachableFrom(fleet, vmProcess.vm.name)
    for (const { vm, state } of membership.members(now)) {
      if ((state === 'live') !== reachable.has(vm.name)) throw new Error(`${vmProcess.vm.name} sees ${vm.name} as ${state} (t=${now})`)
    }
    if (membership.hasMajorityContact(now) !== (2 * reachable.size > VM_COUNT)) throw new Error(`${vmProcess.vm.name} miscounts the majority (t=${now})`)
  }
}

function checkIncarnations (fleet: Fleet, past: Observations): void {
  for (const { process: vmProcess, membership } of fleet.running()) {
    for (const { vm, incarnation } of membership.members(fleet.schedule.now())) {
      const key = `${vmProcess.incarnation} ${vm.name}`
      const before = past.incarnations.get(key)
      if (before !== undefined && (incarnation === undefined || incarnation < before)) throw new Error(`${vmProcess.vm.name} went back to incarnation ${incarnation} of ${vm.name}`)
      if (incarnation !== undefined) past.incarnations.set(key, incarnation)
    }
  }
}

function runSchedule (steps: readonly Action[], seed: number, fullContactsUpTo?: number): void {
  const fleet = createFleet(VM_COUNT, seed, undefined, fullContactsUpTo)
  const past: Observations = { changedAt: fleet.schedule.now(), ranAt: new Map(), incarnations: new Map() }
  const recordRunning = (): void => {
    for (const { process: vmProcess } of fleet.running()) past.ranAt.set(vmProcess.vm.name, fleet.schedule.now())
  }
  const check = (): void => {
    recordRunning()
    checkMajorityContact(fleet, past)
    checkSettled(fleet, past)
    checkIncarnations(fleet, past)
  }
  for (const step of [...steps, { kind: 'wait' as const, ms: 2 * SETTLED_MS }]) {
    if (step.kind !== 'wait') past.changedAt = fleet.schedule.now()
    recordRunning()
    // Interruptions of a commit happen after its step, so `changedAt` would not include them.
    runAction(fleet, step.kind === 'commit' ? { kind: step.kind, vm: step.vm, crashesAfterCommit: step.crashesAfterCommit } : step, check)
  }
}

// Guards against majority contact without evidence, and views that never become correct.
properties(`majority contact has evidence and each view becomes correct (seed ${SEED}, ${RUNS} runs)`, () => {
  fc.assert(
    fc.property(fc.array(actionOf(VM_COUNT), { minLength: 20, maxLength: 40, size: 'max' }), fc.nat(), (steps, seed) => runSchedule(steps, seed)),
    { seed: SEED, numRuns: RUNS }
  )
})

// Guards against selected peers that miss a path, or that keep a VM in contact without evidence.
properties(`the same holds when two peers report each VM (seed ${SEED}, ${RUNS} runs)`, () => {
  fc.assert(
    fc.property(fc.array(actionOf(VM_COUNT), { minLength: 20, maxLength: 40, size: 'max' }), fc.nat(), (steps, seed) => runSchedule(steps, seed, 0)),
    { seed: SEED, numRuns: RUNS }
  )
})

properties.run()
