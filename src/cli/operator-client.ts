import { request } from 'node:http'
import { err, ok, type Result } from 'neverthrow'

/** An error response of the operator API, or a connection error. */
export interface ClientError {
  readonly kind: string
  readonly title: string
  readonly detail: string
  readonly hint: string
  /** The complete response body, for `--json`. */
  readonly body: unknown
}

/** URL and credentials of an operator API. */
export interface OperatorAccess {
  /** Example: `http://10.0.0.7:9090`. */
  readonly url: string
  readonly token: string
}

const REQUEST_TIMEOUT_MS = 30_000

interface RawResponse {
  readonly status: number
  readonly text: string
}

function send (access: OperatorAccess, method: string, path: string, body: string | undefined): Promise<RawResponse> {
  return new Promise((resolve, reject) => {
    const outgoing = request(new URL(path, access.url), {
      method,
      timeout: REQUEST_TIMEOUT_MS,
      headers: { authorization: `Bearer ${access.token}`, ...(body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }) }
    }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('end', () => resolve({ status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString('utf8') }))
      response.on('error', reject)
    })
    outgoing.on('timeout', () => outgoing.destroy(new Error(`no response within ${REQUEST_TIMEOUT_MS} ms`)))
    outgoing.on('error', reject)
    outgoing.end(body)
  })
}

function parseJSONOrText (text: string): unknown {
  try {
    return JSON.parse(text) as unknown
  } catch {
    return text
  }
}

function createClientError (body: unknown, status: number): ClientError {
  const fields = typeof body === 'object' && body !== null ? body as Record<string, unknown> : {}
  const text = (name: string): string => typeof fields[name] === 'string' ? fields[name] : ''
  return { kind: text('kind') || `status-${status}`, title: text('title') || `Status ${status}`, detail: text('detail'), hint: text('hint'), body }
}

/**
 * Calls the operator API of a VM.
 *
 * @example
 * const state = await callOperatorAPI({ url: 'http://10.0.0.7:9090', token }, 'GET', '/v1/state')
 */
export async function callOperatorAPI (
  access: OperatorAccess, method: 'GET' | 'POST', path: string, body?: string
): Promise<Result<unknown, ClientError>> {
  try {
    const response = await send(access, method, path, body)
    const value = parseJSONOrText(response.text)
    return response.status === 200 ? ok(value) : err(createClientError(value, response.status))
  } catch (error) {
    const detail = (error as Error).message
    return err({
      kind: 'unreachable', title: 'VM not reachable', detail, hint: 'Check --vm, or use another VM.', body: { kind: 'unreachable', detail }
    })
  }
}
