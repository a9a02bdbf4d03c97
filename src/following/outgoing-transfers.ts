/** The sending side of batches that are too large for one message. */
import type { Batch } from '../catalog/index.js'
import { MAX_PARTS, PART_BYTES, type Part, type PartRequest } from './parts.js'

/** The batches that other VMs may currently request in parts. */
export interface OutgoingTransfers {
  /** Returns the first part of a batch that is kept, so that it need not be encoded again. */
  readonly first: (batch: Batch) => Part | undefined
  /** Keeps a batch for requests of its parts, and returns the first one; undefined if the batch is too large to be sent. */
  readonly add: (batch: Batch, encoded: Uint8Array) => Part | undefined
  /** Returns a part, or the first part of the newest batch of the section if the requested one is not kept any more. */
  readonly part: (request: PartRequest) => Part | undefined
}

interface Transfer {
  readonly id: number
  readonly batch: Batch
  readonly encoded: Uint8Array
}

/** Number of batches that are kept for each section: one for the VMs that follow, and one for those that start. */
const KEPT_PER_SECTION = 2

/** Whether two batches have the same changes. The catalog replaces a change and never modifies it. */
function isSame (a: Batch, b: Batch): boolean {
  return a.section === b.section && a.after === b.after && a.upTo === b.upTo && a.isProvisional === b.isProvisional &&
    a.changes.length === b.changes.length && a.changes.every((change, index) => change === b.changes[index])
}

function partOf ({ id, batch, encoded }: Transfer, index: number): Part | undefined {
  const count = Math.ceil(encoded.length / PART_BYTES)
  if (index >= count) return undefined
  return { transfer: id, section: batch.section, upTo: batch.upTo, index, count, bytes: encoded.subarray(index * PART_BYTES, (index + 1) * PART_BYTES) }
}

/**
 * Creates the sending side without any batch.
 *
 * @example
 * const outgoing = createOutgoingTransfers()
 * const first = outgoing.add(batch, encode(batch))
 * outgoing.part({ transfer: first.transfer, section: 'rulesets', index: 1 })
 */
export function createOutgoingTransfers (): OutgoingTransfers {
  let kept: readonly Transfer[] = []
  let nextId = 0

  const keep = (batch: Batch, encoded: Uint8Array): Transfer => {
    const transfer: Transfer = { id: nextId++, batch, encoded }
    const sameSection = kept.filter(other => other.batch.section === batch.section)
    const dropped = sameSection.slice(0, Math.max(0, sameSection.length - KEPT_PER_SECTION + 1))
    kept = [...kept.filter(other => !dropped.includes(other)), transfer]
    return transfer
  }

  return {
    first: batch => {
      const known = kept.find(transfer => isSame(transfer.batch, batch))
      return known === undefined ? undefined : partOf(known, 0)
    },
    add: (batch, encoded) => encoded.length > MAX_PARTS * PART_BYTES ? undefined : partOf(keep(batch, encoded), 0),
    part: ({ transfer: id, section, index }) => {
      const sameSection = kept.filter(({ batch }) => batch.section === section)
      const requested = sameSection.find(transfer => transfer.id === id)
      if (requested !== undefined) return partOf(requested, index)
      const newest = sameSection.at(-1)
      return newest === undefined ? undefined : partOf(newest, 0)
    }
  }
}
