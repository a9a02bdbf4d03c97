/**
 * The table of all errors that callers and operators can receive, with the response to each.
 *
 * Every new error kind is added here; no other module defines a status code.
 */

/** Execution state of a request: whether a target ran it, may have run it, or did not run it. */
export type RunState = 'not-run' | 'may-have-run' | 'ran'

/** The response to one kind of error. */
export interface ErrorEntry {
  readonly status: number
  readonly title: string
  readonly message: string
  readonly hint: string
  readonly run: RunState
  /** Delay after which the caller may retry, in ms; undefined when a retry cannot succeed. */
  readonly retryAfterMs: number | undefined
  /** Whether the connection is closed after the response. */
  readonly close: boolean
}

const NOT_RUN = { run: 'not-run', close: false } as const
const MAY_HAVE_RUN = { run: 'may-have-run', close: false } as const

export const errorData = {
  'bad-request': {
    ...NOT_RUN,
    status: 400,
    title: 'Bad request',
    message: 'The request is not valid HTTP/1.1.',
    hint: 'Check the request line, the headers and the body encoding.',
    retryAfterMs: undefined,
    close: true
  },
  'framing-ambiguous': {
    ...NOT_RUN,
    status: 400,
    title: 'Ambiguous framing',
    message: 'The length of the request body can be read in more than one way.',
    hint: 'Send either one Content-Length or Transfer-Encoding: chunked, and no folded header lines.',
    retryAfterMs: undefined,
    close: true
  },
  'headers-too-large': {
    ...NOT_RUN,
    status: 431,
    title: 'Headers too large',
    message: 'The request headers exceed the limit of this VM.',
    hint: 'Send fewer or shorter headers.',
    retryAfterMs: undefined,
    close: true
  },
  'body-too-large': {
    ...NOT_RUN,
    status: 413,
    title: 'Body too large',
    message: 'The request body exceeds the limit of this VM.',
    hint: 'Send a smaller body.',
    retryAfterMs: undefined,
    close: true
  },
  'caller-too-slow': {
    ...NOT_RUN,
    status: 408,
    title: 'Caller too slow',
    message: 'The request did not arrive within the time limit.',
    hint: 'Send the whole request without long pauses.',
    retryAfterMs: 1000,
    close: true
  },
  'route-unknown': {
    ...NOT_RUN,
    status: 404,
    title: 'Unknown route',
    message: 'No route matches the host, path and method.',
    hint: 'Check the URL, or ask an operator which routes exist.',
    retryAfterMs: undefined
  },
  'service-unknown': {
    ...NOT_RUN,
    status: 404,
    title: 'Unknown service',
    message: 'No service has this name.',
    hint: 'Check the name, or ask an operator which services exist.',
    retryAfterMs: undefined
  },
  'not-served-here': {
    ...NOT_RUN,
    status: 421,
    title: 'Not served here',
    message: 'This VM does not serve the service of the request.',
    hint: 'Use one of the listed addresses.',
    retryAfterMs: 0
  },
  overloaded: {
    ...NOT_RUN,
    status: 503,
    title: 'Overloaded',
    message: 'The queue of the service is full, or the request waited too long in it.',
    hint: 'Try again later, or use another address.',
    retryAfterMs: 1000
  },
  'no-target': {
    ...NOT_RUN,
    status: 503,
    title: 'No target available',
    message: 'No target of the service can take the request.',
    hint: 'Try again later.',
    retryAfterMs: 1000
  },
  'deadline-too-short': {
    ...NOT_RUN,
    status: 504,
    title: 'Deadline too short',
    message: 'The request could not finish before its deadline, so it was not started.',
    hint: 'Try again with a longer deadline.',
    retryAfterMs: 1000
  },
  'deadline-exceeded': {
    ...MAY_HAVE_RUN,
    status: 504,
    title: 'Deadline exceeded',
    message: 'The target did not answer before the deadline.',
    hint: 'The target may have run the request. Repeat it only if it is idempotent or carries the same Idempotency-Key.',
    retryAfterMs: 1000
  },
  'target-failed': {
    ...MAY_HAVE_RUN,
    status: 502,
    title: 'Target failed',
    message: 'The target closed the connection or sent an invalid answer.',
    hint: 'The target may have run the request. Repeat it only if it is idempotent or carries the same Idempotency-Key.',
    retryAfterMs: 1000
  },
  'target-unreachable': {
    ...NOT_RUN,
    status: 503,
    title: 'Target unreachable',
    message: 'No connection to a target of the service could be established.',
    hint: 'Try again later.',
    retryAfterMs: 1000
  },
  'request-quarantined': {
    ...NOT_RUN,
    status: 422,
    title: 'Request quarantined',
    message: 'Earlier copies of this request made several targets fail, so it is not forwarded for now.',
    hint: 'Do not repeat the request; report it to an operator with its request id.',
    retryAfterMs: 600_000
  },
  'claim-unavailable': {
    ...NOT_RUN,
    status: 503,
    title: 'Claim unavailable',
    message: 'The platform could not record the Idempotency-Key, so the request was not forwarded.',
    hint: 'Try again later with the same Idempotency-Key.',
    retryAfterMs: 2000
  },
  'duplicate-in-progress': {
    ...MAY_HAVE_RUN,
    status: 409,
    title: 'Duplicate in progress',
    message: 'A request with this Idempotency-Key was forwarded earlier and has no recorded answer.',
    hint: 'Ask the service whether it took effect, or try again with the same Idempotency-Key to read the answer.',
    retryAfterMs: 2000
  },
  'duplicate-ran': {
    status: 409,
    title: 'Duplicate of a finished request',
    message: 'A request with this Idempotency-Key ran, and its answer is too large to be repeated.',
    hint: 'Read the result from the service.',
    run: 'ran',
    retryAfterMs: undefined,
    close: false
  },
  'key-reused': {
    ...NOT_RUN,
    status: 422,
    title: 'Idempotency-Key reused',
    message: 'This Idempotency-Key belongs to a different request.',
    hint: 'Use a new Idempotency-Key for each new request.',
    retryAfterMs: undefined
  },
  'configuration-stale': {
    ...NOT_RUN,
    status: 503,
    title: 'Configuration not confirmed',
    message: 'This VM cannot show that its configuration is current.',
    hint: 'Use another address.',
    retryAfterMs: 1000
  },
  stopping: {
    ...NOT_RUN,
    status: 503,
    title: 'Stopping',
    message: 'This VM is shutting down.',
    hint: 'Ask for the addresses of the service again.',
    retryAfterMs: 0,
    close: true
  },
  internal: {
    ...MAY_HAVE_RUN,
    status: 500,
    title: 'Internal error',
    message: 'The VM met an unexpected error.',
    hint: 'Report the request id to an operator.',
    retryAfterMs: 1000,
    close: true
  },
  unauthorized: {
    ...NOT_RUN,
    status: 401,
    title: 'Unauthorized',
    message: 'The operator token is missing or wrong.',
    hint: 'Send the token of the settings file as a bearer token.',
    retryAfterMs: undefined
  },
  'not-found': {
    ...NOT_RUN,
    status: 404,
    title: 'Not found',
    message: 'There is no such resource.',
    hint: 'Check the path and the name.',
    retryAfterMs: undefined
  },
  'method-not-allowed': {
    ...NOT_RUN,
    status: 405,
    title: 'Method not allowed',
    message: 'The resource does not support this method.',
    hint: 'Check the method.',
    retryAfterMs: undefined
  },
  'note-malformed': {
    ...NOT_RUN,
    status: 400,
    title: 'Malformed release note',
    message: 'The release note does not have the right form.',
    hint: 'Correct the listed entries; nothing was changed.',
    retryAfterMs: undefined
  },
  'note-conflict': {
    ...NOT_RUN,
    status: 409,
    title: 'Conflicting release note',
    message: 'The release note does not fit the current configuration, or another note changed the same entries.',
    hint: 'Read the current configuration, adapt the note and submit it under a new id.',
    retryAfterMs: undefined
  },
  'platform-unavailable': {
    ...NOT_RUN,
    status: 503,
    title: 'Platform unavailable',
    message: 'The platform did not answer; nothing was changed.',
    hint: 'Submit the note again later under the same id.',
    retryAfterMs: 5000
  },
  'fleet-split': {
    ...NOT_RUN,
    status: 503,
    title: 'No contact with most VMs',
    message: 'This VM has no contact with a majority of the VMs, so it accepts no release note.',
    hint: 'Submit the note through another VM.',
    retryAfterMs: 5000
  },
  'outcome-unknown': {
    ...MAY_HAVE_RUN,
    status: 504,
    title: 'Outcome unknown',
    message: 'The platform did not acknowledge the note, and it could not be read back.',
    hint: 'Submit the same note again under the same id; a repeated submission is harmless.',
    retryAfterMs: 5000
  },
  'settings-invalid': {
    ...NOT_RUN,
    status: 500,
    title: 'Invalid settings',
    message: 'The settings file has errors.',
    hint: 'Correct every listed entry.',
    retryAfterMs: undefined
  },
  'peer-unauthenticated': {
    ...NOT_RUN,
    status: 401,
    title: 'Peer not authenticated',
    message: 'The peer did not prove that it has the shared key.',
    hint: 'Check the key in the settings of both VMs.',
    retryAfterMs: undefined,
    close: true
  },
  'peer-version': {
    ...NOT_RUN,
    status: 400,
    title: 'Incompatible peer',
    message: 'The peer speaks a protocol version that this VM does not support.',
    hint: 'Upgrade one version at a time.',
    retryAfterMs: undefined,
    close: true
  },
  'peer-malformed': {
    ...NOT_RUN,
    status: 400,
    title: 'Malformed peer message',
    message: 'The peer sent a message that is too large, unknown or of the wrong form.',
    hint: 'Check that both VMs run compatible versions.',
    retryAfterMs: undefined,
    close: true
  }
} as const satisfies Record<string, ErrorEntry>

/** Name of an error in the table. */
export type ErrorKind = keyof typeof errorData
