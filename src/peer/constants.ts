/** Limits and intervals of links between VMs. */

/** Newest protocol version that this program supports. */
export const PROTOCOL_VERSION = 3

/** Oldest supported version. Supporting two adjacent versions allows a rolling upgrade. */
export const OLDEST_PROTOCOL_VERSION = PROTOCOL_VERSION - 1

/** Maximum frame size. Receiving a larger frame closes the link. */
export const FRAME_LIMIT_BYTES = 256 * 1024

/** Maximum size of hello and welcome, which arrive before the peer is authenticated. */
export const HANDSHAKE_LIMIT_BYTES = 4 * 1024

/** Timeout for connecting and the handshake. */
export const HANDSHAKE_TIMEOUT_MS = 2000

/** Maximum number of accepted connections with an unfinished handshake. Further connections are closed. */
export const MAX_PENDING_HANDSHAKES = 64

/** Maximum number of bytes buffered for a peer that does not read. Beyond it, the link is closed. */
export const SEND_BUFFER_LIMIT_BYTES = 2 * 1024 * 1024

/** Interval between heartbeats on a link. */
export const HEARTBEAT_INTERVAL_MS = 500

/** A link is closed when no new echo has arrived for this time. */
export const ECHO_TIMEOUT_MS = 2000

/** Lower bound of the echo timeout, as a multiple of the heartbeat interval: the echo of a heartbeat waits for the peer's next one. */
export const ECHO_TIMEOUT_INTERVALS = 2.5

/** Checks of the echo timeout per heartbeat. With the usual interval, two keep detection under 3 s. */
export const ECHO_CHECKS_PER_HEARTBEAT = 2

/** A timer that fires later than this shows that the process itself was paused. */
export const PAUSE_THRESHOLD_MS = 1000

/** Interval between checks of the list of wanted peers. */
export const DIAL_CHECK_INTERVAL_MS = 250

/** The VM with the higher name dials only if there has been no link for this time. */
export const SECOND_DIALLER_DELAY_MS = 2000

/** Backoff after the first failed dial. It doubles with each further failure. */
export const INITIAL_BACKOFF_MS = 100

/** Maximum backoff. It must stay below the 8 s within which a note takes effect. */
export const MAX_BACKOFF_MS = 2000

/** Number of consecutive failed dials that are logged. A VM that is gone is dialled every 2 s while it is listed, which would fill the log. */
export const MAX_LOGGED_DIAL_FAILURES = 3

/** A link that was open for this time resets the backoff. */
export const STABLE_LINK_MS = 5000

/** A dialled link that is no longer wanted is closed after this time. */
export const UNWANTED_LINK_TIMEOUT_MS = 10_000

/** Maximum number of links to one peer. More than one exists only while a newer link replaces an older one. */
export const MAX_LINKS_PER_PEER = 3
