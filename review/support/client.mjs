/** A stand-in of clients: a raw connection that may pipeline requests and reads the answers in order. For the scripts of the review only. */
import { randomBytes } from 'node:crypto'
import { connect } from 'node:net'
import { HOST } from './fleet.mjs'

const CRLF2 = Buffer.from('\r\n\r\n')

/** Opens a connection to an address of the form IP:PORT. */
export async function openConnection (endpoint, { record }) {
  const [address, port] = endpoint.split(':')
  const socket = connect({ host: address, port: Number(port), noDelay: true })
  await new Promise((resolve, reject) => socket.once('connect', resolve).once('error', reject))
  const connection = { socket, endpoint, requests: [], answered: 0, closedAt: undefined, endedAt: undefined, isClosing: false, strayBytes: 0 }
  let buffered = Buffer.alloc(0)
  let answer
  const finishAnswer = () => {
    const request = connection.requests[connection.answered]
    request.answer = answer
    request.answeredAt = record.now()
    connection.answered++
    record.write(`client gets ${answer.status} to ${request.attemptId}, ${answer.body.length} bytes`)
    if (answer.headers.connection === 'close') connection.isClosing = true
    answer = undefined
    request.resolve()
  }
  const parse = () => {
    for (;;) {
      if (answer === undefined) {
        const end = buffered.indexOf(CRLF2)
        if (end < 0) return
        const [startLine, ...fields] = buffered.subarray(0, end).toString('latin1').split('\r\n')
        buffered = buffered.subarray(end + 4)
        const status = Number(/^HTTP\/1\.1 (\d{3})/.exec(startLine)?.[1] ?? 0)
        const headers = Object.fromEntries(fields.map(field => [field.slice(0, field.indexOf(':')).toLowerCase(), field.slice(field.indexOf(':') + 1).trim()]))
        if (status >= 100 && status < 200) continue
        if (status === 0 || headers['content-length'] === undefined || connection.answered >= connection.requests.length) {
          record.write(`client reads bytes that are no answer on ${endpoint}: ${JSON.stringify(startLine.slice(0, 80))}`)
          connection.strayBytes++
          socket.destroy()
          return
        }
        answer = { status, headers, body: Buffer.alloc(0) }
      }
      const missing = Number(answer.headers['content-length']) - answer.body.length
      if (buffered.length < missing) return
      answer.body = Buffer.from(buffered.subarray(0, missing))
      buffered = buffered.subarray(missing)
      finishAnswer()
    }
  }
  socket.on('data', chunk => {
    buffered = Buffer.concat([buffered, chunk])
    parse()
  })
  socket.on('error', () => {})
  socket.on('end', () => { connection.endedAt ??= record.now() })
  socket.on('close', () => {
    connection.closedAt = record.now()
    for (const request of connection.requests) request.resolve()
  })
  return {
    ...connection,
    state: connection,
    /** Sends a request; `done` resolves when it is answered or the connection is closed. */
    send: (path, { method = 'GET', deadlineMs = 4000, body = '' } = {}) => {
      const attemptId = randomBytes(8).toString('hex')
      const request = { attemptId, path, endpoint, sentAt: record.now(), isOnKeptConnection: connection.answered > 0, answer: undefined, connection }
      request.done = new Promise(resolve => { request.resolve = resolve })
      connection.requests.push(request)
      const length = body === '' ? '' : `Content-Length: ${Buffer.byteLength(body)}\r\n`
      record.write(`client sends ${attemptId} ${method} ${path} to ${endpoint}`)
      socket.write(`${method} ${path} HTTP/1.1\r\nHost: ${HOST}\r\nAttempt-Id: ${attemptId}\r\nDeadline-Ms: ${deadlineMs}\r\n${length}\r\n${body}`)
      return request
    },
    close: () => socket.destroy()
  }
}
