/** Format of claims as rows in the platform's table. */
import { Result, Schema } from 'effect'
import type { Claim, ClaimRequest, RecordedResponse } from '../model/index.js'

/** Maximum size of a response body that a claim stores. */
export const RECORDED_BODY_LIMIT_BYTES = 8 * 1024
/** Maximum size of the response headers as JSON. A response with larger headers cannot be replayed either. */
const RECORDED_HEADERS_LIMIT_BYTES = 8 * 1024

const StoredResponse = Schema.Struct({
  status: Schema.Int,
  headers: Schema.Record(Schema.String, Schema.Union([Schema.String, Schema.Array(Schema.String)])),
  /** Base64; absent if the response was too large. */
  body: Schema.optionalKey(Schema.String)
})

const ClaimRow = Schema.Struct({
  nonce: Schema.String,
  /** The VM that inserted the claim, for display to operators. */
  vm: Schema.String,
  fingerprint: Schema.String,
  /** Time of the insert in ms since 1970, for display to operators. */
  claimedAt: Schema.Number,
  /** Recorded response; absent until the request has finished. */
  answer: Schema.optionalKey(StoredResponse)
})

/** Decoded row of a claim. */
export interface StoredClaim {
  readonly nonce: string
  readonly fingerprint: string
  /** Recorded response; undefined until the request has finished. */
  readonly answer: RecordedResponse | undefined
}

/** VM and time of an insert, in ms since 1970. */
export interface ClaimOrigin {
  readonly vm: string
  readonly claimedAt: number
}

/** Returns the row key of a claim. Both parts are URL-encoded because an idempotency key can contain slashes. */
export function claimKey ({ service, idempotencyKey }: Pick<ClaimRequest, 'service' | 'idempotencyKey'>): string {
  return `claim/${encodeURIComponent(service)}/${encodeURIComponent(idempotencyKey)}`
}

function encodeResponse ({ status, headers, body }: RecordedResponse): typeof StoredResponse.Type {
  const isWithinLimits = body !== undefined && body.length <= RECORDED_BODY_LIMIT_BYTES &&
    Buffer.byteLength(JSON.stringify(headers)) <= RECORDED_HEADERS_LIMIT_BYTES
  return isWithinLimits ? { status, headers, body: Buffer.from(body).toString('base64') } : { status, headers: {} }
}

/** Encodes a claim as the text of its row, with the recorded response if there is one. */
export function encodeClaim ({ nonce, fingerprint }: Claim, { vm, claimedAt }: ClaimOrigin, answer?: RecordedResponse): string {
  const row: typeof ClaimRow.Type = { nonce, vm, fingerprint, claimedAt }
  return JSON.stringify(answer === undefined ? row : { ...row, answer: encodeResponse(answer) })
}

const decode = Schema.decodeUnknownResult(ClaimRow)

/** Decodes a row; returns undefined if the format is not recognised. */
export function decodeClaim (text: string): StoredClaim | undefined {
  try {
    const decoded = decode(JSON.parse(text))
    if (Result.isFailure(decoded)) return undefined
    const { nonce, fingerprint, answer } = decoded.success
    if (answer === undefined) return { nonce, fingerprint, answer }
    const body = answer.body === undefined ? undefined : Buffer.from(answer.body, 'base64')
    return { nonce, fingerprint, answer: { ...answer, body } }
  } catch {
    return undefined
  }
}
