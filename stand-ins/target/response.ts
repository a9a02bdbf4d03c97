import type { IncomingMessage, ServerResponse } from 'node:http'
import { RESPONSE_BYTES_HEADER, RESPONSE_CHECKSUM_HEADER, REQUEST_CHECKSUM_HEADER, TOKEN_HEADER, createResponseBody, checksum } from './integrity.js'
import type { Faults } from './faults.js'

const DEFAULT_RESPONSE_BYTES = 64
const SLOW_WRITE_INTERVAL_MS = 20
const MS_PER_SECOND = 1000

/** The response to completed work. */
export interface WorkResponse {
  readonly request: IncomingMessage
  /** Checksum of the request body as received. */
  readonly requestChecksum: string
  readonly token: string
  readonly headers: Readonly<Record<string, string>>
  readonly status: number
}

function sendSlowly (response: ServerResponse, body: Buffer, bytesPerSecond: number): void {
  const chunkBytes = Math.max(1, Math.round(bytesPerSecond * SLOW_WRITE_INTERVAL_MS / MS_PER_SECOND))
  let sent = 0
  const timer = setInterval(() => {
    response.write(body.subarray(sent, sent + chunkBytes))
    sent += chunkBytes
    if (sent < body.length) return
    clearInterval(timer)
    response.end()
  }, SLOW_WRITE_INTERVAL_MS)
  response.once('close', () => clearInterval(timer))
}

function sendTruncated (response: ServerResponse, body: Buffer): void {
  response.write(body.subarray(0, body.length / 2), () => response.destroy())
}

function sendNow (response: ServerResponse, workResponse: WorkResponse, faults: Faults, truncated: boolean): void {
  const { request, token, headers, status } = workResponse
  const body = createResponseBody(token, Number(request.headers[RESPONSE_BYTES_HEADER] ?? DEFAULT_RESPONSE_BYTES))
  response.writeHead(status, {
    ...headers,
    [TOKEN_HEADER]: token,
    [REQUEST_CHECKSUM_HEADER]: workResponse.requestChecksum,
    [RESPONSE_CHECKSUM_HEADER]: checksum(body),
    'content-length': body.length
  })
  const slow = faults.get('slow-body')
  if (request.method === 'HEAD') response.end()
  else if (truncated) sendTruncated(response, body)
  else if (slow !== undefined) sendSlowly(response, body, slow.bytesPerSecond)
  else response.end(body)
}

/** Sends the response, subject to the faults `truncated`, `late` and `slow-body`. */
export function sendWorkResponse (response: ServerResponse, workResponse: WorkResponse, faults: Faults, random: () => number): void {
  const truncated = random() < (faults.get('truncated')?.share ?? 0)
  const delayMs = faults.get('late')?.delayMs ?? 0
  if (delayMs === 0) return sendNow(response, workResponse, faults, truncated)
  const timeout = setTimeout(() => sendNow(response, workResponse, faults, truncated), delayMs)
  response.once('close', () => clearTimeout(timeout))
}
