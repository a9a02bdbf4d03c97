/** Sends and receives batches of the catalog; large ones in parts that the receiver requests one after the other. */
import type { Batch, Section } from '../catalog/index.js'
import type { Log } from '../log/index.js'
import type { Clock, Peer } from '../model/index.js'
import { decode, encode, FRAME_LIMIT_BYTES, type PeerMesh } from '../peer/index.js'
import { createIncomingTransfers } from './incoming-transfers.js'
import { batchChannel, partChannel, partRequestChannel } from './messages.js'
import { createOutgoingTransfers } from './outgoing-transfers.js'
import type { Part } from './parts.js'

/** The exchange of batches with other VMs. */
export interface BatchExchange {
  readonly send: (vms: readonly string[], batch: Batch) => void
  /** Whether parts of a batch of the section are arriving. */
  readonly isReceiving: (section: Section) => boolean
  /** Drops the parts of batches of which no further part arrives. */
  readonly sweep: (now: number) => void
}

/** Dependencies of the exchange. */
export interface BatchExchangeOptions {
  readonly mesh: Pick<PeerMesh, 'send' | 'subscribe' | 'protocolVersion'>
  /** Store version up to which a section is known. */
  readonly upTo: (section: Section) => number
  readonly onBatch: (from: Peer, batch: Batch) => void
  readonly log: Log
  readonly clock: Clock
}

/** Largest encoded batch that fits into one message, in bytes. */
const MESSAGE_BYTES = FRAME_LIMIT_BYTES - 1024

/** A peer with an older protocol version would close the link after a part. */
const OLDEST_VERSION_WITH_PARTS = 3

/**
 * Creates the exchange and subscribes to its messages.
 *
 * @example
 * const exchange = createBatchExchange({ mesh, upTo: catalog.upTo, onBatch: (from, batch) => catalog.apply(batch, clock()), log, clock })
 * exchange.send(['vm-2', 'vm-3'], batch)
 */
export function createBatchExchange ({ mesh, upTo, onBatch, log, clock }: BatchExchangeOptions): BatchExchange {
  const outgoing = createOutgoingTransfers()
  const incoming = createIncomingTransfers()

  const sendFirstPart = (vms: readonly string[], first: Part): void => {
    for (const vm of vms) if ((mesh.protocolVersion(vm) ?? 0) >= OLDEST_VERSION_WITH_PARTS) mesh.send(vm, partChannel, first)
  }

  const sendNew = (vms: readonly string[], batch: Batch): void => {
    const encoded = encode(batch)
    if (encoded.length <= MESSAGE_BYTES) {
      for (const vm of vms) mesh.send(vm, batchChannel, batch)
      return
    }
    const first = outgoing.add(batch, encoded)
    if (first === undefined) log.error('batch.too-large', { section: batch.section, upTo: batch.upTo, bytes: encoded.length })
    else sendFirstPart(vms, first)
  }

  const receiveEncoded = (from: Peer, encoded: Uint8Array): void => {
    decode(encoded).andThen(batchChannel.parse).match(
      batch => onBatch(from, batch),
      detail => log.error('batch.malformed', { peer: from.vm, detail }))
  }

  const receivePart = (from: Peer, part: Part): void => {
    // Applying an older batch would change nothing.
    if (part.upTo < upTo(part.section)) return
    const receipt = incoming.receive(from, part, clock())
    if (receipt.kind === 'complete') receiveEncoded(from, receipt.encoded)
    if (receipt.kind === 'incomplete') mesh.send(from.vm, partRequestChannel, { transfer: part.transfer, section: part.section, index: receipt.missing })
  }

  mesh.subscribe(batchChannel, onBatch)
  mesh.subscribe(partChannel, receivePart)
  mesh.subscribe(partRequestChannel, (from, request) => {
    const part = outgoing.part(request)
    if (part !== undefined) mesh.send(from.vm, partChannel, part)
  })

  return {
    send: (vms, batch) => {
      if (vms.length === 0) return
      const first = outgoing.first(batch)
      if (first === undefined) sendNew(vms, batch)
      else sendFirstPart(vms, first)
    },
    isReceiving: incoming.isActive,
    sweep: incoming.sweep
  }
}
