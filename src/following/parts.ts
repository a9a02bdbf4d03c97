/** Parts of a batch that is too large for one message between VMs. */
import type { Section } from '../catalog/index.js'

/** Maximum size of a part, in bytes. Half a frame, so that heartbeats do not wait long behind it. */
export const PART_BYTES = 128 * 1024

/** Maximum number of parts of a batch, which bounds the memory of an incomplete transfer. */
export const MAX_PARTS = 32

/** A part of an encoded batch. */
export interface Part {
  /** Identifies the transfer among those of its sender. */
  readonly transfer: number
  readonly section: Section
  /** Store version up to which the batch has every change. */
  readonly upTo: number
  /** Number of this part, from 0. */
  readonly index: number
  /** Number of parts of the batch. */
  readonly count: number
  readonly bytes: Uint8Array
}

/** Requests a part of a batch. The first part is sent without a request. */
export type PartRequest = Pick<Part, 'transfer' | 'section' | 'index'>
