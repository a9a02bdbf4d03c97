/**
 * Random schedules of faults against the rules of the membership. The seed is
 * fixed; `MEMBERSHIP_SEED=… MEMBERSHIP_RUNS=…` runs others.
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
/** A view is right this long after the last fault: 2.5 s until a link closes, 3 s of contact and its spread. */
const SETTLED_MS = 7000

/** What a schedule has to remember about the past. */
interface Past {
  changedAt: number
  /** Latest time at which each VM ran. */
  readonly ranAt: Map<string, number>
  /** Latest incarnation of each VM that an observer knew. */
  readonly incarnations: Map<string, string>
}

/** Contact has to be founded: more than half of the VMs ran within the contact limit. */
function checkFounded (fleet: Fleet, past: Past): void {
  const now = fleet.schedule.now()
  const ran = [...past.ranAt.values()].filter(at => now - at <= CONTACT_MS).length
  for (const { process: node, membership } of fleet.running()) {
    if (membership.hasMajorityContact(now) && 2 * ran <= VM_COUNT) throw new Error(`${node.vm.name} has majority contact, but ${ran} VMs ran (t=${now})`)
  }
}

/** Once nothing changed for a while, each view shows exactly the VMs that can be reached. */
function checkSettled (fleet: Fleet, past: Past): void {
  const now = fleet.schedule.now()
  if (now - past.changedAt < SETTLED_MS) return
  for (const { process: node, membership } of fleet.running()) {
    const reachable = reachableFrom(fleet, node.vm.name)
    for (const { vm, state } of membership.members(now)) {
      if ((state === 'live') !== reachable.has(vm.name)) throw new Error(`${node.vm.name} sees ${vm.name} as ${state} (t=${now})`)
    }
    if (membership.hasMajorityContact(now) !== (2 * reachable.size > VM_COUNT)) throw new Error(`${node.vm.name} miscounts the majority (t=${now})`)
  }
}

function checkIncarnations (fleet: Fleet, past: Past): void {
  for (const { process: node, membership } of fleet.running()) {
    for (const { vm, incarnation } of membership.members(fleet.schedule.now())) {
      const key = `${node.incarnation} ${vm.name}`
      const before = past.incarnations.get(key)
      if (before !== undefined && (incarnation === undefined || incarnation < before)) throw new Error(`${node.vm.name} went back to ${incarnation} of ${vm.name}`)
      if (incarnation !== undefined) past.incarnations.set(key, incarnation)
    }
  }
}

function runSchedule (steps: readonly Action[], seed: number, fullContactsUpTo?: number): void {
  const fleet = createFleet(VM_COUNT, seed, undefined, fullContactsUpTo)
  const past: Past = { changedAt: fleet.schedule.now(), ranAt: new Map(), incarnations: new Map() }
  const noteRunning = (): void => {
    for (const { process: node } of fleet.running()) past.ranAt.set(node.vm.name, fleet.schedule.now())
  }
  const check = (): void => {
    noteRunning()
    checkFounded(fleet, past)
    checkSettled(fleet, past)
    checkIncarnations(fleet, past)
  }
  for (const step of [...steps, { kind: 'wait' as const, ms: 2 * SETTLED_MS }]) {
    if (step.kind !== 'wait') past.changedAt = fleet.schedule.now()
    noteRunning()
    // Interruptions of a commit come later than its step, so their time would not be noted as that of a change.
    runAction(fleet, step.kind === 'commit' ? { kind: step.kind, vm: step.vm, crashesAfterCommit: step.crashesAfterCommit } : step, check)
  }
}

// Guards against contact that is claimed without ground, and views that never become right.
properties(`majority contact is founded and each view becomes right (seed ${SEED}, ${RUNS} runs)`, () => {
  fc.assert(
    fc.property(fc.array(actionOf(VM_COUNT), { minLength: 20, maxLength: 40, size: 'max' }), fc.nat(), (steps, seed) => runSchedule(steps, seed)),
    { seed: SEED, numRuns: RUNS }
  )
})

// Guards against selected contacts that miss a path, or that keep a VM in contact without ground.
properties(`the same holds when each VM is told of by two peers (seed ${SEED}, ${RUNS} runs)`, () => {
  fc.assert(
    fc.property(fc.array(actionOf(VM_COUNT), { minLength: 20, maxLength: 40, size: 'max' }), fc.nat(), (steps, seed) => runSchedule(steps, seed, 0)),
    { seed: SEED, numRuns: RUNS }
  )
})

properties.run()
