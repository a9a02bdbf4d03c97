/** Random fault schedules for the simulated fleet. */
import fc from 'fast-check'
import type { Fleet, CommitStage } from './fleet.js'

/** A fault at a stage of a commit. The bits of `side` select the affected VMs. */
export interface StageFault {
  readonly stage: CommitStage
  /**
   * `end`: ends the committing process. `cut`: isolates the committing VM. `partition`: separates the two sides.
   * `restart`, `losePlatform`: restarts the VMs of one side, or makes the platform unreachable for them.
   * `outage`: makes the platform unreachable for all VMs.
   */
  readonly kind: 'end' | 'cut' | 'partition' | 'restart' | 'losePlatform' | 'outage'
  readonly side: number
}

/** A commit at the given VM, or at the next VM that can commit. */
export interface CommitAction {
  readonly kind: 'commit'
  readonly vm: number
  /** The process ends after the transaction took effect and before it notifies its peers. */
  readonly crashesAfterCommit: boolean
  readonly commitDelayMs?: number
  readonly losesResponse?: boolean
  readonly stageFaults?: readonly StageFault[]
}

/** One step of a fault schedule. VMs are numbered from 0. */
export type Action =
  | { readonly kind: 'wait', readonly ms: number }
  | { readonly kind: 'cut' | 'heal', readonly from: number, readonly to: number }
  | { readonly kind: 'partition', readonly side: number }
  | { readonly kind: 'healAll' }
  | { readonly kind: 'kill' | 'restart' | 'freeze' | 'resume', readonly vm: number }
  | { readonly kind: 'platform', readonly vm: number, readonly isReachable: boolean }
  | { readonly kind: 'platformAll', readonly isReachable: boolean }
  | CommitAction

const STEP_MS = 100

/** Arbitrary commit for a fleet of the given size. */
function commitOf (vmCount: number): fc.Arbitrary<CommitAction> {
  const stageFault = fc.record({
    stage: fc.constantFrom<CommitStage>('announced', 'acknowledged', 'committed', 'told'),
    kind: fc.constantFrom<StageFault['kind']>('end', 'cut', 'partition', 'restart', 'losePlatform', 'outage'),
    side: fc.integer({ min: 1, max: 2 ** vmCount - 2 })
  })
  return fc.record({
    kind: fc.constant('commit' as const),
    vm: fc.nat({ max: vmCount - 1 }),
    crashesAfterCommit: fc.constantFrom(false, false, false, true),
    // After the longest delay, the transaction takes effect shortly before the announced note counts as decided.
    commitDelayMs: fc.oneof(fc.constant(0), fc.integer({ min: 0, max: 1500 }), fc.integer({ min: 1500, max: 8000 })),
    losesResponse: fc.constantFrom(false, false, true),
    stageFaults: fc.oneof(fc.constant([]), fc.array(stageFault, { minLength: 1, maxLength: 3 }))
  })
}

/** Arbitrary step for a fleet of the given size. */
export function actionOf (vmCount: number): fc.Arbitrary<Action> {
  const vm = fc.nat({ max: vmCount - 1 })
  const ms = fc.oneof(fc.integer({ min: 50, max: 3000 }), fc.integer({ min: 8000, max: 12_000 }))
  const side = fc.integer({ min: 1, max: 2 ** vmCount - 2 })
  // Processes start more often than they end, otherwise no process would be left in a long schedule.
  return fc.oneof(
    { weight: 9, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('cut' as const, 'heal' as const), from: vm, to: vm }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant('partition' as const), side }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('healAll' as const) }) },
    { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('kill' as const, 'freeze' as const), vm }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('restart' as const, 'resume' as const), vm }) },
    { weight: 4, arbitrary: fc.record({ kind: fc.constant('platform' as const), vm, isReachable: fc.boolean() }) },
    { weight: 2, arbitrary: fc.record({ kind: fc.constant('platformAll' as const), isReachable: fc.boolean() }) },
    { weight: 6, arbitrary: commitOf(vmCount) }
  )
}

/** Returns the name of a VM by its number. */
export function nameOf (index: number): string {
  return `vm-${index + 1}`
}

/** Returns the running VMs that are connected to the given one, directly or through others, by links that work in both directions. */
export function reachableFrom (fleet: Fleet, name: string): ReadonlySet<string> {
  const found = new Set([name])
  const running = fleet.running().map(({ process }) => process.vm.name)
  for (const near of found) {
    for (const far of running) {
      if (!fleet.network.isCut(near, far) && !fleet.network.isCut(far, near)) found.add(far)
    }
  }
  return found
}

function setCut (fleet: Fleet, from: string, to: string, isCut: boolean): void {
  if (from !== to) fleet.network.setCut(from, to, isCut)
}

function forPairs (fleet: Fleet, run: (from: string, to: string) => void): void {
  for (const from of fleet.names) for (const to of fleet.names) run(from, to)
}

function wait (fleet: Fleet, ms: number, check: () => void): void {
  const until = fleet.schedule.now() + ms
  while (fleet.schedule.now() < until) {
    fleet.schedule.runUntil(Math.min(until, fleet.schedule.now() + STEP_MS))
    check()
  }
}

function partition (fleet: Fleet, side: number): void {
  const sideOf = (name: string): number => (side >> fleet.names.indexOf(name)) & 1
  forPairs(fleet, (from, to) => setCut(fleet, from, to, sideOf(from) !== sideOf(to)))
}

function resume (fleet: Fleet, name: string, check: () => void): void {
  fleet.vm(name).process.isFrozen = false
  // A resumed process may handle a request before any timer or message.
  check()
  fleet.resume(name)
}

function restart (fleet: Fleet, name: string): void {
  fleet.kill(name)
  fleet.start(name)
}

function injectStageFault (fleet: Fleet, { kind, side }: StageFault, committer: string): void {
  const chosen = fleet.names.filter((_, index) => ((side >> index) & 1) === 1)
  switch (kind) {
    case 'end': return fleet.kill(committer)
    case 'cut': return partition(fleet, 1 << fleet.names.indexOf(committer))
    case 'partition': return partition(fleet, side)
    case 'restart': return chosen.forEach(name => restart(fleet, name))
    case 'losePlatform': return chosen.forEach(name => fleet.setPlatform(name, false))
    case 'outage': return fleet.names.forEach(name => fleet.setPlatform(name, false))
  }
}

/** Commits at the given VM, or at the next VM that can commit. */
function commit (fleet: Fleet, { vm, stageFaults = [], ...plan }: CommitAction): void {
  const onStage = (stage: CommitStage, committer: string): void => {
    for (const stageFault of stageFaults) if (stageFault.stage === stage) injectStageFault(fleet, stageFault, committer)
  }
  for (let i = 0; i < fleet.names.length; i++) {
    if (fleet.commit(nameOf((vm + i) % fleet.names.length), { ...plan, onStage })) return
  }
}

/** Runs a step of a schedule. Calls `check` after every 100 ms of a wait and immediately after a process is resumed. */
export function runAction (fleet: Fleet, step: Action, check: () => void): void {
  switch (step.kind) {
    case 'wait': return wait(fleet, step.ms, check)
    case 'cut':
    case 'heal': return setCut(fleet, nameOf(step.from), nameOf(step.to), step.kind === 'cut')
    case 'healAll': return forPairs(fleet, (from, to) => setCut(fleet, from, to, false))
    case 'partition': return partition(fleet, step.side)
    case 'kill': return fleet.kill(nameOf(step.vm))
    case 'restart': return restart(fleet, nameOf(step.vm))
    case 'freeze': return fleet.freeze(nameOf(step.vm))
    case 'resume': return resume(fleet, nameOf(step.vm), check)
    case 'platform': return fleet.setPlatform(nameOf(step.vm), step.isReachable)
    case 'platformAll':
      for (const name of fleet.names) fleet.setPlatform(name, step.isReachable)
      return
    case 'commit': return commit(fleet, step)
  }
}
