/**
 * Tracks the heartbeats of one link: sequence numbers, echoes and times.
 *
 * All times are on this VM's clock. The peer sends only durations.
 */
import { err, ok, type Result } from 'neverthrow'
import { ECHO_TIMEOUT_INTERVALS, ECHO_TIMEOUT_MS } from './constants.js'
import { linkFailure, type LinkFailure } from './failure.js'
import type { Heartbeat } from './messages.js'

/** Number of sent heartbeats whose send times are kept. A link is closed before it can receive an older echo. */
const MAX_TRACKED_HEARTBEATS = 64

/** Heartbeat state of one link. */
export interface HeartbeatTracker {
  /** Returns the sequence number, the echo and the hold time for the next heartbeat. */
  readonly next: (now: number) => Omit<Heartbeat, 'attachments'>
  /**
   * Records a received heartbeat. Returns the earliest time at which the peer
   * can have written it, or undefined if it contains no echo yet.
   */
  readonly receive: (message: Heartbeat, now: number) => Result<number | undefined, LinkFailure>
  /** Whether the echo timeout of a heartbeat interval has passed since the last new echo arrived. */
  readonly isEchoOverdue: (intervalMs: number, now: number) => boolean
  /** Restarts the echo timeout, for use after a pause of this process itself. */
  readonly restartEchoTimeout: (now: number) => void
  /** Time at which the latest echoed heartbeat was sent. */
  readonly lastEchoAt: () => number
  readonly roundTripMs: () => number
  /** Number of heartbeats received. */
  readonly received: () => number
}

/**
 * Creates the heartbeat tracker of a new link.
 *
 * @param handshakeSentAt when this VM sent the handshake message that the peer has answered
 */
export function createHeartbeatTracker (handshakeSentAt: number, now: number): HeartbeatTracker {
  const sentAt: number[] = []
  let sequence = 0
  let echoed = -1
  let echoSentAt = handshakeSentAt
  let echoReceivedAt = now
  let roundTripMs = now - handshakeSentAt
  let peerSequence = -1
  let peerReceivedAt = now
  let received = 0

  const recordEcho = (message: Heartbeat, now: number): void => {
    if (message.echo === echoed) return
    echoed = message.echo
    echoSentAt = sentAt[echoed % MAX_TRACKED_HEARTBEATS] ?? echoSentAt
    echoReceivedAt = now
    roundTripMs = Math.max(0, now - echoSentAt - message.heldMs)
  }

  return {
    next: now => {
      sentAt[sequence % MAX_TRACKED_HEARTBEATS] = now
      const heldMs = Math.max(0, Math.floor(now - peerReceivedAt))
      return { sequence: sequence++, echo: peerSequence, heldMs: peerSequence < 0 ? 0 : heldMs }
    },
    receive: (message, now) => {
      if (message.echo >= sequence || message.echo < echoed || message.echo < sequence - MAX_TRACKED_HEARTBEATS) {
        return err(linkFailure('body-malformed', `heartbeat: echo of ${message.echo}, sent up to ${sequence - 1}`))
      }
      if (message.sequence !== peerSequence + 1) {
        return err(linkFailure('body-malformed', `heartbeat: sequence ${message.sequence} after ${peerSequence}`))
      }
      peerSequence = message.sequence
      peerReceivedAt = now
      received++
      recordEcho(message, now)
      return ok(message.echo < 0 ? undefined : Math.min(now, echoSentAt + message.heldMs))
    },
    isEchoOverdue: (intervalMs, now) => now - echoReceivedAt > Math.max(ECHO_TIMEOUT_MS, intervalMs * ECHO_TIMEOUT_INTERVALS),
    restartEchoTimeout: now => { echoReceivedAt = now },
    lastEchoAt: () => echoSentAt,
    roundTripMs: () => roundTripMs,
    received: () => received
  }
}
