import { errorData, type ErrorEntry, type ErrorKind, type RunState } from './error-data.js'

/** One occurrence of an error from the table. */
export interface Refusal {
  readonly kind: ErrorKind
  /** One sentence about this occurrence; must not contain bodies or secrets. */
  readonly detail: string
  /** Overrides the value of the table where more is known, for example after an earlier attempt. */
  readonly run: RunState
  /** Overrides the value of the table, in ms. */
  readonly retryAfterMs: number | undefined
  /** Additional members of the JSON response body, for example `addresses`. */
  readonly extra: Readonly<Record<string, unknown>>
}

/** The HTTP response that a caller or an operator receives. */
export interface RefusalResponse {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  readonly body: string
  readonly close: boolean
}

const MS_PER_SECOND = 1000

/**
 * Creates a refusal.
 *
 * @example
 * refusal('overloaded', 'the queue of "holds" has 64 entries')
 * refusal('overloaded', 'no slot after a retry', { run: 'may-have-run' })
 */
export function refusal (
  kind: ErrorKind,
  detail: string,
  overrides: Partial<Pick<Refusal, 'run' | 'retryAfterMs' | 'extra'>> = {}
): Refusal {
  const entry: ErrorEntry = errorData[kind]
  return { kind, detail, run: entry.run, retryAfterMs: entry.retryAfterMs, extra: {}, ...overrides }
}

/** Type guard for refusals. Returns false for other values, for example an unexpected exception. */
export function isRefusal (value: unknown): value is Refusal {
  return typeof value === 'object' && value !== null && 'kind' in value && 'run' in value &&
    typeof value.kind === 'string' && value.kind in errorData
}

/**
 * Creates the HTTP response to a refusal.
 *
 * @example
 * toErrorResponse(refusal('route-unknown', 'GET /x'), 'r-1').status // 404
 */
export function toErrorResponse (refused: Refusal, requestId: string): RefusalResponse {
  const entry: ErrorEntry = errorData[refused.kind]
  const body = JSON.stringify({
    kind: refused.kind,
    title: entry.title,
    message: entry.message,
    detail: refused.detail,
    hint: entry.hint,
    run: refused.run,
    retryAfterMs: refused.retryAfterMs,
    requestId,
    ...refused.extra
  })
  const headers: Record<string, string> = {
    'content-type': 'application/json; charset=utf-8',
    'content-length': String(Buffer.byteLength(body)),
    'camphorbay-kind': refused.kind,
    'camphorbay-run': refused.run,
    'camphorbay-request-id': requestId
  }
  if (refused.retryAfterMs !== undefined) {
    headers['retry-after'] = String(Math.ceil(refused.retryAfterMs / MS_PER_SECOND))
  }
  if (entry.close) headers['connection'] = 'close'
  return { status: entry.status, headers, body, close: entry.close }
}
