/** In-process links between VMs. Messages are serialized, parsed and delivered synchronously and in order. */
import type { Channel, Contact, Mesh, Peer } from '../../src/model/index.js'

interface Handler {
  readonly channel: Channel<unknown>
  readonly receive: (from: Peer, body: unknown) => void
}

/** In-process VMs and the links between them. */
export interface MeshStandIn {
  readonly meshOf: (vm: string) => Mesh
  readonly link: (a: string, b: string) => void
  readonly unlink: (a: string, b: string) => void
  /** Number of delivered messages by kind. */
  readonly delivered: ReadonlyMap<string, number>
}

/** Creates a mesh without VMs and links. */
export function createMeshStandIn (): MeshStandIn {
  const links = new Set<string>()
  const handlers = new Map<string, Handler[]>()
  const names = new Set<string>()
  const delivered = new Map<string, number>()
  const key = (a: string, b: string): string => [a, b].sort().join(' ')
  const deliver = (from: string, to: string, kind: string, body: unknown): void => {
    const handler = handlers.get(to)?.find(({ channel }) => channel.kind === kind)
    if (handler === undefined) return
    const parsed = handler.channel.parse(JSON.parse(JSON.stringify(body)))
    if (parsed.isErr()) throw new Error(parsed.error)
    delivered.set(kind, (delivered.get(kind) ?? 0) + 1)
    handler.receive({ vm: from, incarnation: '1' }, parsed.value)
  }
  const contactsOf = (vm: string): readonly Contact[] => [...names]
    .filter(other => links.has(key(vm, other)))
    .map(other => ({ vm: other, incarnation: '1', lastEchoAt: 0, roundTripMs: 1 }))
  return {
    delivered,
    link: (a, b) => { links.add(key(a, b)) },
    unlink: (a, b) => { links.delete(key(a, b)) },
    meshOf: vm => {
      names.add(vm)
      return {
        contacts: () => contactsOf(vm),
        send: (to, channel, body) => {
          if (!links.has(key(vm, to))) return false
          deliver(vm, to, channel.kind, body)
          return true
        },
        subscribe: (channel, handler) => {
          const registered = handlers.get(vm) ?? []
          handlers.set(vm, [...registered, { channel, receive: handler } as unknown as Handler])
        }
      }
    }
  }
}
