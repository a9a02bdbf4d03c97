/** Invariants of the replicated configuration, checked while a fault schedule runs. */
import { isDeepStrictEqual } from 'node:util'
import type { Configuration } from '../../src/model/index.js'
import type { UsableConfiguration } from '../../src/spread/index.js'
import { runAction, type Action } from './fault-schedule.js'
import { createFleet, type Fleet, type SimulatedVM } from './fleet.js'

/** Maximum time until an accepted note is in effect at every serving VM. */
const IN_EFFECT_LIMIT_MS = 8000
const WARM_UP_MS = 4000
/** Covers reconnected links, a read of the head that starts 10 s after the last announcement, and its replication. */
const RECOVERY_LIMIT_MS = 25_000

/** Latest revision seen at each process. */
type RevisionHistory = Map<unknown, number>

/** Returns something that the VM uses and that differs in the other configuration; undefined if there is no difference. */
export function findDifference ({ configuration, withheldServices, withheldRoutes }: UsableConfiguration, other: Configuration): string | undefined {
  for (const { targets, ...settings } of configuration.services) {
    const counterpart = other.services.find(({ name }) => name === settings.name)
    if (counterpart === undefined) return `service ${settings.name}`
    const { targets: allowed, ...wanted } = counterpart
    if (!isDeepStrictEqual(settings, wanted)) return `settings of ${settings.name}`
    const target = targets.find(used => !allowed.some(known => isDeepStrictEqual(used, known)))
    if (target !== undefined) return `target ${target.id}`
  }
  const route = configuration.routes.find(used => !other.routes.some(known => isDeepStrictEqual(used, known)))
  if (route !== undefined) return `route ${route.id}`
  // A route of the other configuration may take precedence over the used ones, so it must be used or withheld.
  const known = [...configuration.routes, ...withheldRoutes]
  const hidden = other.routes.find(wanted => !known.some(used => isDeepStrictEqual(used, wanted)))
  if (hidden !== undefined) return `absence of route ${hidden.id}`
  const absent = other.services.find(({ name }) => !withheldServices.has(name) && !configuration.services.some(used => used.name === name))
  return absent === undefined ? undefined : `absence of service ${absent.name}`
}

/** Checks that a serving VM holds every note accepted more than 8 s ago at least as undecided, and uses nothing that such a note changed. */
function checkMissingNotes (fleet: Fleet, { process, replica }: SimulatedVM): void {
  const now = fleet.schedule.now()
  const { name } = process.vm
  const { revision } = replica.current()
  const missing = fleet.commits.filter(({ accepted, at }) => accepted.revision > revision && at < now - IN_EFFECT_LIMIT_MS)
  const undecided = replica.undecided().map(({ note }) => note.id)
  const unknown = missing.find(({ accepted }) => !undecided.includes(accepted.note.id))
  if (unknown !== undefined) throw new Error(`${name} serves with revision ${revision}; ${unknown.accepted.revision} was accepted more than 8 s ago (t=${now})`)
  const latest = missing.at(-1)
  const difference = latest === undefined ? undefined : findDifference(replica.usable(now), latest.configuration)
  if (difference !== undefined) throw new Error(`${name} uses the ${difference} that revision ${latest?.accepted.revision} changed more than 8 s ago (t=${now})`)
}

/** Checks the invariants of all running processes. */
function checkInvariants (fleet: Fleet, history: RevisionHistory): void {
  for (const simulatedVM of fleet.running()) {
    const { process, replica } = simulatedVM
    const { revision } = replica.current()
    if (revision < (history.get(process) ?? 0)) throw new Error(`${process.vm.name} went back to revision ${revision}`)
    history.set(process, revision)
    if (revision > fleet.commits.length) throw new Error(`${process.vm.name} holds revision ${revision}, which was never accepted`)
    if (replica.servingRefusal(fleet.schedule.now()) === undefined) checkMissingNotes(fleet, simulatedVM)
  }
}

/** Ends all faults and checks that every VM then serves the latest configuration without undecided notes. */
function checkRecovery (fleet: Fleet, tick: () => void): void {
  const steps: readonly Action[] = [{ kind: 'healAll' }, { kind: 'platformAll', isReachable: true }, { kind: 'wait', ms: RECOVERY_LIMIT_MS }]
  for (const [vm, name] of fleet.names.entries()) {
    const { process } = fleet.vm(name)
    if (!process.isAlive) runAction(fleet, { kind: 'restart', vm }, tick)
    else if (process.isFrozen) runAction(fleet, { kind: 'resume', vm }, tick)
  }
  for (const step of steps) runAction(fleet, step, tick)
  for (const { process, replica } of fleet.running()) {
    const refused = replica.servingRefusal(fleet.schedule.now())
    const state = `revision ${replica.current().revision} of ${fleet.commits.length}, ${replica.undecided().length} undecided`
    const isCurrent = replica.current().revision === fleet.commits.length && replica.undecided().length === 0
    if (refused !== undefined || !isCurrent) throw new Error(`${process.vm.name} did not recover: ${state}, ${refused?.detail ?? 'serves'}`)
  }
}

/** Runs a fault schedule and throws when an invariant is violated. */
export function checkSchedule (vmCount: number, steps: readonly Action[], seed: number): void {
  const fleet = createFleet(vmCount, seed)
  const history: RevisionHistory = new Map()
  const tick = (): void => checkInvariants(fleet, history)
  runAction(fleet, { kind: 'wait', ms: WARM_UP_MS }, tick)
  for (const step of steps) runAction(fleet, step, tick)
  runAction(fleet, { kind: 'wait', ms: IN_EFFECT_LIMIT_MS + 2000 }, tick)
  checkRecovery(fleet, tick)
}
