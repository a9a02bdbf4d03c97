/** Refusals on connections without a parsed request. */
import type { Socket } from 'node:net'
import { toErrorResponse, type Refusal } from '../errors/index.js'
import { closeLingering } from './lingering-close.js'

/** Request id in the response when no request was parsed. */
const NO_REQUEST_ID = 'none'
/** Sends a refusal and closes the connection. */
export function sendRawRefusal (socket: Socket, refused: Refusal): void {
  const { status, headers, body } = toErrorResponse(refused, NO_REQUEST_ID)
  const fields = Object.entries({ ...headers, connection: 'close' })
  const lines = fields.map(([name, value]) => `${name}: ${value}\r\n`).join('')
  socket.end(`HTTP/1.1 ${status} ${refused.kind}\r\n${lines}\r\n${body}`)
  closeLingering(socket)
}
