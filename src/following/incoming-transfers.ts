/** The receiving side of batches that are too large for one message: puts their parts together. */
import type { Section } from '../catalog/index.js'
import type { Peer } from '../model/index.js'
import type { Part } from './parts.js'

/** What a part led to. */
export type Receipt =
  /** The part belongs to no transfer in progress. */
  | { readonly kind: 'ignored' }
  /** The part with this index is missing. */
  | { readonly kind: 'incomplete', readonly missing: number }
  | { readonly kind: 'complete', readonly encoded: Uint8Array }

/** The batches of which parts have arrived. Times are in ms on the VM's monotonic clock. */
export interface IncomingTransfers {
  readonly receive: (from: Peer, part: Part, now: number) => Receipt
  /** Whether a batch of the section is being received. */
  readonly isActive: (section: Section) => boolean
  /** Drops the transfers that have failed. */
  readonly sweep: (now: number) => void
}

/** A transfer without a new part for this time has failed, in ms. The next part is due within a round trip. */
const STALL_MS = 500

/** A batch that is not complete. */
interface Transfer {
  readonly from: Peer
  readonly first: Part
  readonly received: readonly Uint8Array[]
  readonly progressAt: number
}

const IGNORED: Receipt = { kind: 'ignored' }

function isFrom ({ from }: Transfer, peer: Peer): boolean {
  return from.vm === peer.vm && from.incarnation === peer.incarnation
}

/** Whether a part is the next one of a transfer. */
function isNext (transfer: Transfer, from: Peer, part: Part): boolean {
  const { first, received } = transfer
  return isFrom(transfer, from) && part.transfer === first.transfer && part.upTo === first.upTo && part.count === first.count &&
    part.index === received.length
}

function hasFailed ({ progressAt }: Transfer, now: number): boolean {
  return now - progressAt >= STALL_MS
}

/** Whether a first part replaces a transfer in progress: the transfer has failed, or the part is of a newer batch. */
function replaces (transfer: Transfer, from: Peer, part: Part, now: number): boolean {
  if (hasFailed(transfer, now) || part.upTo > transfer.first.upTo) return true
  // The sender no longer has the batch.
  return isFrom(transfer, from) && part.upTo === transfer.first.upTo && part.transfer > transfer.first.transfer
}

/**
 * Creates the receiving side. Per section it holds the parts of one batch: a newer batch starts from its beginning.
 *
 * @example
 * const incoming = createIncomingTransfers()
 * incoming.receive(from, part, clock()) // { kind: 'incomplete', missing: 1 }
 */
export function createIncomingTransfers (): IncomingTransfers {
  const transfers = new Map<Section, Transfer>()

  const proceed = (from: Peer, part: Part, now: number): Transfer | undefined => {
    const current = transfers.get(part.section)
    if (current !== undefined && isNext(current, from, part)) return { ...current, received: [...current.received, part.bytes], progressAt: now }
    if (part.index > 0 || (current !== undefined && !replaces(current, from, part, now))) return undefined
    return { from, first: part, received: [part.bytes], progressAt: now }
  }

  return {
    receive: (from, part, now) => {
      const transfer = proceed(from, part, now)
      if (transfer === undefined) return IGNORED
      const { received, first } = transfer
      if (received.length < first.count) {
        transfers.set(part.section, transfer)
        return { kind: 'incomplete', missing: received.length }
      }
      transfers.delete(part.section)
      return { kind: 'complete', encoded: Buffer.concat(received) }
    },
    isActive: section => transfers.has(section),
    sweep: now => {
      for (const [section, transfer] of transfers) if (hasFailed(transfer, now)) transfers.delete(section)
    }
  }
}
