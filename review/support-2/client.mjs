/** Stand-in for a client: sends requests over connections that it keeps open, as the pages describe. */
import { connect } from 'node:net'
import { createParser } from './http.mjs'

/** Bytes of a request. */
export function requestBytes ({ attemptId, method = 'GET', path = '/', host = 'a.example', deadlineMs = 2000, body = '', headers = {} }) {
  const fields = { Host: host, 'Attempt-Id': attemptId, 'Deadline-Ms': deadlineMs, ...(body.length > 0 || method !== 'GET' ? { 'Content-Length': Buffer.byteLength(body) } : {}), ...headers }
  return `${method} ${path} HTTP/1.1\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`
}

/**
 * Opens a connection.
 *
 * Each sent request yields a promise of `{ status, headers, body, isComplete, at, closed }`; `closed` is set if the
 * connection ended without an answer to it.
 */
export function openConnection ({ address, port }) {
  const waiting = []
  let isOpen = true
  let announcedClose = false
  const unsolicited = []
  const socket = connect({ host: address, port, noDelay: true })
  const onMessage = ({ startLine, headers, body }) => {
    const status = Number(startLine.split(' ')[1])
    if (status < 200) return
    if (headers.connection === 'close') announcedClose = true
    const request = waiting.shift()
    const answer = { status, headers, body: body.toString(), isComplete: true, at: performance.now() }
    if (request === undefined) return unsolicited.push(answer)
    request.resolve(answer)
  }
  const parser = createParser(onMessage, { endsWithConnection: true })
  let endedBy = 'end'
  const close = () => {
    if (!isOpen) return
    isOpen = false
    const isPartial = parser.isPartial()
    for (const [index, request] of waiting.entries()) request.resolve({ closed: endedBy, isPartial: index === 0 && isPartial, afterClose: announcedClose, at: performance.now() })
    waiting.length = 0
  }
  socket.on('data', parser.push)
  socket.on('end', () => {
    parser.end()
    socket.end()
  })
  socket.on('error', error => { endedBy = error.code })
  socket.on('close', close)
  const opened = new Promise((resolve, reject) => socket.once('connect', resolve).once('error', reject))
  opened.catch(() => {})
  return {
    socket,
    opened,
    isOpen: () => isOpen && !announcedClose,
    isIdle: () => waiting.length === 0,
    unsolicited,
    send: request => new Promise(resolve => {
      if (!isOpen) return resolve({ closed: 'not sent', notSent: true, at: performance.now() })
      waiting.push({ resolve })
      socket.write(requestBytes(request))
    }),
    /** Sends bytes that hold one request. */
    sendRaw: bytes => new Promise(resolve => {
      if (!isOpen) return resolve({ closed: 'not sent', notSent: true, at: performance.now() })
      waiting.push({ resolve })
      socket.write(bytes)
    }),
    close: () => socket.destroy()
  }
}

/** Sends one request on a new connection. */
export async function sendOnce (endpoint, request) {
  const connection = openConnection(endpoint)
  const answer = await connection.send(request)
  connection.close()
  return answer
}
