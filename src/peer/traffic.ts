/** Counters of the frames and bytes that the links send and receive. */

/** Totals since the process started. Bytes include the WebSocket headers, but not those of TCP and IP. */
export interface TrafficTotals {
  readonly framesSent: number
  readonly bytesSent: number
  readonly framesReceived: number
  readonly bytesReceived: number
}

/** Traffic counters shared by all links. */
export interface Traffic {
  readonly sent: (bytes: number) => void
  readonly received: (bytes: number) => void
  readonly totals: () => TrafficTotals
}

const MAX_SHORT_LENGTH = 125
const MAX_MEDIUM_LENGTH = 65_535
/** Mean per frame: the mask has 4 bytes, and only the dialler masks its frames, which are about half of all frames. */
const MEAN_MASK_BYTES = 2

function headerBytes (length: number): number {
  if (length <= MAX_SHORT_LENGTH) return 2 + MEAN_MASK_BYTES
  return (length <= MAX_MEDIUM_LENGTH ? 4 : 10) + MEAN_MASK_BYTES
}

/** Creates counters that start at 0. */
export function createTraffic (): Traffic {
  let framesSent = 0
  let bytesSent = 0
  let framesReceived = 0
  let bytesReceived = 0
  return {
    sent: bytes => {
      framesSent++
      bytesSent += bytes + headerBytes(bytes)
    },
    received: bytes => {
      framesReceived++
      bytesReceived += bytes + headerBytes(bytes)
    },
    totals: () => ({ framesSent, bytesSent, framesReceived, bytesReceived })
  }
}
