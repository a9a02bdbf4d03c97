/**
 * Frames of an authenticated link: a 4-byte counter, an HMAC-SHA256 over
 * counter and payload, truncated to 16 bytes, and the payload.
 *
 * Each direction has its own key, so a frame cannot be reflected to its sender.
 */
import { createHmac, timingSafeEqual } from 'node:crypto'
import { err, ok, type Result } from 'neverthrow'
import { linkFailure, type LinkFailure } from './failure.js'

const COUNTER_BYTES = 4
const MAC_BYTES = 16

/** Number of bytes that a frame adds to its payload. */
export const FRAME_OVERHEAD_BYTES = COUNTER_BYTES + MAC_BYTES

/** Builds the frame of a payload by adding the counter and the authentication code. */
export type Seal = (payload: Uint8Array) => Uint8Array

/** Verifies the counter and the authentication code of a frame and returns its payload. */
export type Open = (frame: Uint8Array) => Result<Uint8Array, LinkFailure>

function computeMac (key: Uint8Array, counter: Uint8Array, payload: Uint8Array): Buffer {
  return createHmac('sha256', key).update(counter).update(payload).digest().subarray(0, MAC_BYTES)
}

/** Creates the sending side of one direction. */
export function createSeal (key: Uint8Array): Seal {
  let next = 0
  return payload => {
    const frame = Buffer.allocUnsafe(FRAME_OVERHEAD_BYTES + payload.length)
    frame.writeUInt32BE(next++, 0)
    frame.set(payload, FRAME_OVERHEAD_BYTES)
    frame.set(computeMac(key, frame.subarray(0, COUNTER_BYTES), payload), COUNTER_BYTES)
    return frame
  }
}

/**
 * Creates the receiving side of one direction.
 *
 * Errors: `frame-malformed` (too short), `frame-tampered` (wrong authentication code),
 * `frame-replayed` (valid code, but not the next counter).
 */
export function createOpen (key: Uint8Array): Open {
  let expected = 0
  return frame => {
    if (frame.length < FRAME_OVERHEAD_BYTES) return err(linkFailure('frame-malformed', `${frame.length} bytes`))
    const counter = frame.subarray(0, COUNTER_BYTES)
    const payload = frame.subarray(FRAME_OVERHEAD_BYTES)
    if (!timingSafeEqual(computeMac(key, counter, payload), frame.subarray(COUNTER_BYTES, FRAME_OVERHEAD_BYTES))) {
      return err(linkFailure('frame-tampered', `frame ${expected}`))
    }
    const received = Buffer.from(counter).readUInt32BE()
    if (received !== expected) return err(linkFailure('frame-replayed', `frame ${received}, expected ${expected}`))
    expected++
    return ok(payload)
  }
}
