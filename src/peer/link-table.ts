/** The open links of this VM, by peer. */
import type { Contact } from '../model/index.js'
import { MAX_LINKS_PER_PEER } from './constants.js'
import { linkFailure } from './failure.js'
import type { Link } from './link.js'

/** Open links by peer. The newest link of a peer is used for sending. */
export interface LinkTable {
  readonly add: (link: Link) => void
  readonly remove: (link: Link) => void
  /** The link used for sending to a VM. */
  readonly current: (vm: string) => Link | undefined
  readonly contacts: () => readonly Contact[]
  readonly all: () => readonly Link[]
}

/**
 * Creates an empty table.
 *
 * When two VMs dial each other at the same time, each may consider the other's
 * link the newer one. If both closed the older link, no link would remain.
 * Therefore only the VM with the lower name closes older links, and the other
 * one keeps up to `MAX_LINKS_PER_PEER`.
 */
export function createLinkTable (self: string): LinkTable {
  const links = new Map<string, Link[]>()

  /** Closes links of older incarnations, and superseded links of the current one. */
  const closeOutdated = (open: readonly Link[]): void => {
    const newest = open.at(-1)
    if (newest === undefined) return
    const kept = self < newest.peer.vm.name ? 1 : MAX_LINKS_PER_PEER
    for (const [index, link] of open.entries()) {
      if (link.peer.incarnation < newest.peer.incarnation) link.close(linkFailure('older-incarnation', link.peer.incarnation))
      else if (index < open.length - kept) link.close(linkFailure('superseded'))
    }
  }
  const contactOf = (open: readonly Link[]): readonly Contact[] => {
    const newest = open.at(-1)
    if (newest === undefined) return []
    const same = open.filter(link => link.peer.incarnation === newest.peer.incarnation)
    return [{
      vm: newest.peer.vm.name,
      incarnation: newest.peer.incarnation,
      // An older link on which echoes still arrive is evidence of contact too.
      lastEchoAt: Math.max(...same.map(link => link.heartbeats.lastEchoAt())),
      roundTripMs: newest.heartbeats.roundTripMs()
    }]
  }

  return {
    add: link => {
      const { name } = link.peer.vm
      // The last link is used for sending, so a late link of an older incarnation is sorted before the others.
      const open = [...links.get(name) ?? [], link]
        .sort((a, b) => a.peer.incarnation < b.peer.incarnation ? -1 : Number(a.peer.incarnation > b.peer.incarnation))
      links.set(name, open)
      closeOutdated(open)
    },
    remove: link => {
      const { name } = link.peer.vm
      const rest = (links.get(name) ?? []).filter(other => other !== link)
      if (rest.length === 0) links.delete(name)
      else links.set(name, rest)
    },
    current: vm => links.get(vm)?.at(-1),
    contacts: () => [...links.values()].flatMap(contactOf),
    all: () => [...links.values()].flat()
  }
}
