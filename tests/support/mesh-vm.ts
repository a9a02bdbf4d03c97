/** Meshes of test VMs on the loopback interface. */
import { Effect } from 'effect'
import type { VM } from '../../src/model/index.js'
import { createIncarnation, createMesh, type MeshOptions, type PeerMesh } from '../../src/peer/index.js'
import { createEventLog, type EventLog } from './events.js'

/** Peer key of the test VMs. */
export const TEST_KEY = Buffer.from('a key for tests only')

/** Creates a VM on the loopback interface. Port 0 selects a free port. */
export function testVM (name: string, port = 0): VM {
  const address = '127.0.0.1'
  return { name, place: 'riga-a', callers: { address, port: 1 }, peers: { address, port } }
}

/** A listening mesh. */
export interface TestMesh extends EventLog {
  readonly mesh: PeerMesh
  /** The VM with the port that it listens on. */
  readonly vm: VM
  readonly stop: () => Promise<void>
}

/** Starts a mesh. `prepare` can register handlers before the listener opens. */
export async function startMesh (
  name: string, wanted: () => readonly VM[], overrides: Partial<MeshOptions> = {}, prepare: (mesh: PeerMesh) => void = () => {}
): Promise<TestMesh> {
  const { log, events } = createEventLog()
  const mesh = createMesh({
    self: testVM(name),
    incarnation: createIncarnation(Date.now()),
    key: TEST_KEY,
    wanted,
    log,
    clock: () => performance.now(),
    ...overrides
  })
  prepare(mesh)
  const { port } = await Effect.runPromise(mesh.listen())
  return { mesh, log, events, vm: testVM(name, port), stop: () => Effect.runPromise(mesh.stop()) }
}
