/** A simulated fleet: VMs with the real membership and replica, a simulated network and an in-memory platform. */
import { Effect } from 'effect'
import { ok } from 'neverthrow'
import { createMembership, type Membership } from '../../src/membership/index.js'
import type { AcceptedNote, Configuration, ListedVM, PlatformFailure, VM } from '../../src/model/index.js'
import { applyNote } from '../../src/notes/index.js'
import { createReplica, type Replica } from '../../src/spread/index.js'
import { createEventLog, type LoggedEvent } from './events.js'
import { testVM } from './mesh-vm.js'
import { createNetwork, type Network, type SimulatedProcess } from './network.js'
import { sampleConfiguration, sampleNote } from './sample-notes.js'
import { createRandom, createSchedule, type Schedule } from './schedule.js'

const TICK_MS = 250

/** Timeout of the platform client for a transaction. */
const CLIENT_TIMEOUT_MS = 1500

/** Stages of a commit at which a test can inject a fault. */
export type CommitStage =
  | 'announced'    // the announcement was sent
  | 'acknowledged' // a majority acknowledged it, and the transaction is about to be sent
  | 'committed'    // the transaction took effect, and its response is about to arrive
  | 'told'         // the accepted note was sent to the peers

/** Options of a simulated commit. */
export interface CommitPlan {
  /** The process ends after the transaction took effect and before it notifies its peers. */
  readonly crashesAfterCommit?: boolean
  /** Delay until the transaction takes effect, in ms. Default: 0. */
  readonly commitDelayMs?: number
  /** The response of the platform is lost. */
  readonly losesResponse?: boolean
  readonly onStage?: (stage: CommitStage, name: string) => void
}

/** An accepted note and the time at which its transaction committed. */
export interface Commit {
  readonly accepted: AcceptedNote
  readonly at: number
  /** The configuration with the note applied. */
  readonly configuration: Configuration
}

/** A simulated process of a VM, with its components. */
export interface SimulatedVM {
  readonly process: SimulatedProcess
  readonly membership: Membership
  readonly replica: Replica
  readonly events: readonly LoggedEvent[]
}

/** A simulated fleet. */
export interface Fleet {
  readonly schedule: Schedule
  readonly network: Network
  readonly names: readonly string[]
  readonly commits: readonly Commit[]
  readonly vm: (name: string) => SimulatedVM
  /** Live processes that are not frozen. */
  readonly running: () => readonly SimulatedVM[]
  /** All processes that were ever started, including ended ones. */
  readonly started: () => readonly SimulatedVM[]
  /** Starts a process, which replaces an earlier one with the same name. */
  readonly start: (name: string) => void
  readonly kill: (name: string) => void
  readonly freeze: (name: string) => void
  readonly resume: (name: string) => void
  /** Makes the platform reachable or unreachable for a VM. */
  readonly setPlatform: (name: string, isReachable: boolean) => void
  readonly reachesPlatform: (name: string) => boolean
  /** Sets the VM list that the platform returns to the named VMs, by default to all. */
  readonly setList: (vms: readonly ListedVM[], names?: readonly string[]) => void
  /** Sets the IP addresses of the targets. */
  readonly setTargets: (addresses: readonly string[]) => void
  /** Starts to commit a note at a VM; returns false when the VM would refuse it immediately. */
  readonly commit: (name: string, plan?: CommitPlan) => boolean
  /** Number of attempts to read the head. */
  readonly headAttempts: () => number
  readonly listReads: () => number
}

const unavailable = Effect.fail<PlatformFailure>({ kind: 'unavailable', detail: 'test' })
const noEntries = { services: [], targets: [], routes: [] }

/** A configuration without services and routes. */
export const emptyConfiguration: Configuration = { revision: 0, services: [], routes: [] }

/** Creates a note without entries, for tests that use only its revision. */
export function testNote (revision: number, acceptedBy: string, id = `note-${revision}`): AcceptedNote {
  const note = { id, base: revision - 1, added: noEntries, changed: noEntries, withdrawn: noEntries }
  return { revision, note, acceptedAt: 0, acceptedBy }
}

/** Applies only the revision of a note. */
export const applyRevision = (configuration: Configuration, accepted: AcceptedNote) =>
  ok({ ...configuration, revision: accepted.revision })

/**
 * Creates a fleet of running VMs that have not discovered each other yet.
 *
 * @param listedNames names of the VMs in the platform's list and in the seeds of each VM; default: all
 * @param fullContactsUpTo see the options of the membership
 */
export function createFleet (size: number, seed: number, listedNames?: readonly string[], fullContactsUpTo?: number): Fleet {
  const schedule = createSchedule()
  const network = createNetwork(schedule)
  const random = createRandom(seed)
  const names = Array.from({ length: size }, (_, index) => `vm-${index + 1}`)
  const vms = new Map<string, SimulatedVM>()
  const processes: SimulatedVM[] = []
  const unreachable = new Set<string>()
  const commits: Commit[] = []
  const seeds: readonly VM[] = (listedNames ?? names).map(name => testVM(name))
  const firstList = seeds.map((vm): ListedVM => ({ vm, state: 'live' }))
  const lists = new Map(names.map(name => [name, firstList as readonly ListedVM[]]))
  let targets: ReadonlySet<string> = new Set()
  let startCount = 0
  let announcedCount = 0
  let headAttempts = 0
  let listReads = 0

  const vm = (name: string): SimulatedVM => {
    const found = vms.get(name)
    if (found === undefined) throw new Error(`no VM ${name}`)
    return found
  }
  const readFromPlatform = <T>(name: string, read: () => T): Effect.Effect<T, PlatformFailure> =>
    Effect.suspend(() => unreachable.has(name) ? unavailable : Effect.succeed(read()))

  const start = (name: string): void => {
    const { log, events } = createEventLog()
    const incarnation = `${String(startCount++).padStart(8, '0')}-test`
    const process = network.join(testVM(name), incarnation, log)
    const common = { mesh: process.mesh, log, clock: schedule.now, random }
    const membership = createMembership({
      ...common,
      self: process.vm,
      incarnation,
      seeds,
      subsetPeers: () => [],
      ...(fullContactsUpTo === undefined ? {} : { fullContactsUpTo }),
      targetAddresses: () => targets,
      listVMs: () => readFromPlatform(name, () => {
        listReads++
        return lists.get(name) ?? firstList
      })
    })
    const replica = createReplica({
      ...common,
      self: name,
      initial: sampleConfiguration,
      apply: applyNote,
      membership,
      after: (ms, run) => schedule.after(ms, () => network.whenRunning(process, run)),
      readHead: () => Effect.suspend(() => {
        headAttempts++
        return readFromPlatform(name, () => commits.length)
      }),
      readNotes: (from, to) => readFromPlatform(name, () => commits.slice(from - 1, to).map(({ accepted }) => accepted)),
      readSnapshot: () => readFromPlatform(name, () => undefined)
    })
    process.wanted = () => membership.linksWanted(schedule.now())
    const simulatedVM = { process, membership, replica, events }
    vms.set(name, simulatedVM)
    processes.push(simulatedVM)
    const tick = (): void => {
      if (!process.isAlive) return
      membership.tick(schedule.now())
      replica.tick(schedule.now())
      schedule.after(TICK_MS, () => network.whenRunning(process, tick))
    }
    schedule.after(random() * TICK_MS, () => network.whenRunning(process, tick))
  }
  const kill = (name: string): void => network.kill(vm(name).process)
  /** Commits the transaction if no other note was accepted since the announcement. */
  const transact = (accepted: AcceptedNote): boolean => {
    if (commits.length !== accepted.revision - 1) return false
    const before = commits.at(-1)?.configuration ?? sampleConfiguration
    commits.push({ accepted, at: schedule.now(), configuration: applyNote(before, accepted)._unsafeUnwrap() })
    return true
  }
  const commit = (name: string, plan: CommitPlan = {}): boolean => {
    const { process, replica } = vm(name)
    const { commitDelayMs = 0, onStage = () => {} } = plan
    const isBehind = replica.current().revision !== commits.length
    if (!process.isAlive || process.isFrozen || unreachable.has(name) || isBehind || !replica.canCommit(schedule.now())) return false
    const choice = announcedCount++
    const note = sampleNote(replica.current(), `note-${choice}`, choice)
    const accepted: AcceptedNote = { revision: commits.length + 1, note, acceptedAt: 0, acceptedBy: name }
    const receiveResponse = (id: string, isCommitted: boolean): void => {
      if (plan.losesResponse === true || commitDelayMs > CLIENT_TIMEOUT_MS || unreachable.has(name)) return
      if (!isCommitted) return replica.abandon(id)
      replica.accept(accepted, schedule.now())
      onStage('told', name)
    }
    replica.announce(accepted, id => {
      if (id === undefined) return
      onStage('acknowledged', name)
      if (!process.isAlive) return
      if (unreachable.has(name)) return replica.abandon(id)
      // A transaction that was sent takes effect even if its sender ends.
      schedule.after(commitDelayMs, () => {
        const isCommitted = transact(accepted)
        onStage('committed', name)
        if (plan.crashesAfterCommit === true && isCommitted) network.kill(process)
        network.whenRunning(process, () => receiveResponse(id, isCommitted))
      })
    })
    onStage('announced', name)
    return true
  }
  for (const name of names) start(name)

  return {
    schedule,
    network,
    names,
    commits,
    vm,
    running: () => [...vms.values()].filter(({ process }) => process.isAlive && !process.isFrozen),
    started: () => processes,
    start,
    kill,
    freeze: name => { vm(name).process.isFrozen = true },
    resume: name => {
      const { process } = vm(name)
      process.isFrozen = false
      for (const run of process.backlog.splice(0)) network.whenRunning(process, run)
    },
    setPlatform: (name, isReachable) => {
      if (isReachable) unreachable.delete(name)
      else unreachable.add(name)
    },
    reachesPlatform: name => !unreachable.has(name),
    setList: (vms, to = names) => { for (const name of to) lists.set(name, vms) },
    setTargets: addresses => { targets = new Set(addresses) },
    commit,
    headAttempts: () => headAttempts,
    listReads: () => listReads
  }
}

/** Time in which the links of a new fleet open and its VMs establish their configuration. */
const STARTUP_MS = 4000

/** Runs the simulation for the given time in ms. */
export function runFor (fleet: Fleet, ms: number): void {
  fleet.schedule.runUntil(fleet.schedule.now() + ms)
}

/** Creates a fleet and runs it until its VMs have discovered each other. */
export function startFleet (size: number, seed: number): Fleet {
  const fleet = createFleet(size, seed)
  runFor(fleet, STARTUP_MS)
  return fleet
}

/** Makes the platform reachable or unreachable for all VMs. */
export function setPlatformForAll (fleet: Fleet, isReachable: boolean): void {
  for (const name of fleet.names) fleet.setPlatform(name, isReachable)
}
