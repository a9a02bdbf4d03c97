/** Refusals on connections without a parsed request. */
import type { Socket } from 'node:net'
import { toErrorResponse, type Refusal } from '../errors/index.js'

/** Request id in the response when no request was parsed. */
const NO_REQUEST_ID = 'none'
/**
 * Time for a caller that may still be sending to read the refusal, in ms. Closing
 * at once would reset the connection, and the caller could lose the response.
 */
const LINGER_TIMEOUT_MS = 1000

/** Sends a refusal and closes the connection. */
export function sendRawRefusal (socket: Socket, refused: Refusal): void {
  const { status, headers, body } = toErrorResponse(refused, NO_REQUEST_ID)
  const fields = Object.entries({ ...headers, connection: 'close' })
  const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket.end(`HTTP/1.1 ${status} ${refused.kind}\r\n${lines}\r\n${body}`)
  const timeout = setTimeout(() => socket.destroy(), LINGER_TIMEOUT_MS)
  socket.once('end', () => socket.destroySoon()).once('close', () => clearTimeout(timeout))
  // Reads until the caller closes its side, because unread bytes would cause a reset.
  socket.resume()
}
