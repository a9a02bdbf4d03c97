/** A fleet of meshes, memberships and replicas in one process, over loopback. */
import { createServer } from 'node:net'
import { Effect, Fiber } from 'effect'
import { ok } from 'neverthrow'
import type { Log } from '../src/log/index.js'
import { createMembership } from '../src/membership/index.js'
import type { AcceptedNote, Configuration, VM } from '../src/model/index.js'
import { createIncarnation, createMesh, type PeerMesh } from '../src/peer/index.js'
import { createReplica, type Replica } from '../src/spread/index.js'

const ADDRESS = '127.0.0.1'
const KEY = Buffer.from('key of the measured fleet')
const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} }
const clock = (): number => performance.now()
const noEntries = { services: [], targets: [], routes: [] }

/** A VM of the measured fleet. */
export interface MeasuredVM {
  readonly mesh: PeerMesh
  readonly replica: Replica
}

/** A running fleet. */
export interface MeasuredFleet {
  readonly vms: readonly MeasuredVM[]
  /** Commits a note at the VM with an index. */
  readonly commit: (index: number) => void
  readonly stop: () => Promise<void>
}

/** Options of a measured fleet. */
export interface FleetOptions {
  readonly size: number
  /** Without links, each VM polls the platform on its own, as in the baseline. */
  readonly hasLinks: boolean
  /** Called when a note is in effect at a VM, with the time since its commit in ms. */
  readonly onNoteInEffect: (afterMs: number) => void
}

async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>(resolve => server.listen(0, ADDRESS, resolve))
  const bound = server.address()
  await new Promise(resolve => server.close(resolve))
  if (bound === null || typeof bound === 'string') throw new Error('no free port')
  return bound.port
}

async function createVMs (size: number): Promise<readonly VM[]> {
  const ports = new Set<number>()
  while (ports.size < size) ports.add(await findFreePort())
  return [...ports].map((port, index) => ({
    name: `entry-${index + 1}`,
    place: `place-${index % 3}`,
    callers: { address: ADDRESS, port: 1 },
    peers: { address: ADDRESS, port }
  }))
}

/** Starts a fleet with its own in-memory platform. */
export async function startFleet ({ size, hasLinks, onNoteInEffect }: FleetOptions): Promise<MeasuredFleet> {
  const configuredVMs = await createVMs(size)
  const commits: AcceptedNote[] = []
  const committedAt: number[] = []
  const fibers: Array<Fiber.Fiber<unknown, unknown>> = []

  const startVM = async (self: VM): Promise<MeasuredVM> => {
    const incarnation = createIncarnation(Date.now())
    const common = { log: silentLog, clock }
    let wanted: () => readonly VM[] = () => []
    const mesh = createMesh({ ...common, self, incarnation, key: KEY, wanted: () => wanted() })
    const membership = createMembership({
      ...common,
      self,
      incarnation,
      mesh,
      seeds: [],
      subsetPeers: () => [],
      listVMs: () => Effect.succeed(configuredVMs.map(vm => ({ vm, state: 'live' as const })))
    })
    if (hasLinks) wanted = () => membership.linksWanted(clock())
    const replica = createReplica({
      ...common,
      self: self.name,
      mesh,
      membership,
      initial: { revision: 0, services: [], routes: [] },
      apply: (configuration: Configuration, note) => ok({ ...configuration, revision: note.revision }),
      readHead: () => Effect.sync(() => commits.length),
      readNotes: (from, to) => Effect.sync(() => commits.slice(from - 1, to)),
      readSnapshot: () => Effect.succeed(undefined),
      changed: ({ revision }) => onNoteInEffect(clock() - (committedAt[revision - 1] ?? 0))
    })
    await Effect.runPromise(mesh.listen())
    fibers.push(Effect.runFork(membership.start()), Effect.runFork(replica.start()))
    return { mesh, replica }
  }

  const vms: MeasuredVM[] = []
  for (const vm of configuredVMs) vms.push(await startVM(vm))
  return {
    vms,
    commit: index => {
      const note = { id: `note-${commits.length + 1}`, base: commits.length, added: noEntries, changed: noEntries, withdrawn: noEntries }
      const accepted = { revision: commits.length + 1, note, acceptedAt: Date.now(), acceptedBy: configuredVMs[index]?.name ?? '' }
      commits.push(accepted)
      committedAt.push(clock())
      vms[index]?.replica.accept(accepted, clock())
    },
    stop: async () => {
      await Effect.runPromise(Fiber.interruptAll(fibers))
      for (const { mesh } of vms) await Effect.runPromise(mesh.stop())
    }
  }
}
