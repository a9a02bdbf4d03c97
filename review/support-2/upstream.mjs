/** Stand-in for an upstream, on raw sockets so that it can answer in every way that the pages allow. */
import { createServer } from 'node:net'
import { createHash } from 'node:crypto'
import { createParser } from './http.mjs'

export const hashOf = bytes => createHash('sha256').update(bytes).digest('hex').slice(0, 16)

/** Body of an upstream's answer to a request. */
export const answerBody = (id, attemptId, bytes = 60) => `${id} answers ${attemptId} `.padEnd(bytes, '.')

/** Bytes of an answer with the upstream's signature. */
export function answerBytes (id, attemptId, { status = 200, headers = {}, bodyBytes } = {}) {
  const body = answerBody(id, attemptId, bodyBytes)
  const fields = { 'Attempt-Id': attemptId, 'Upstream-Seal': `seal-${id}-${attemptId}`, 'Content-Length': Buffer.byteLength(body), ...headers }
  return `HTTP/1.1 ${status} X\r\n${Object.entries(fields).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n${body}`
}

/** Bytes of an answer that states that the request was not run. */
export const refusalBytes = (attemptId, status = 503, headers = {}) =>
  `HTTP/1.1 ${status} X\r\nAttempt-Id: ${attemptId}\r\nNot-Executed: 1\r\nContent-Length: 0\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`

/**
 * Starts an upstream.
 *
 * @param options.handle called for each request with `{ attemptId, method, path, body, deadlineMs, socket, answer, run }`
 */
export async function startUpstream ({ id, address, port = 0, store, service, slots = 4, handle = request => request.run(20), entry = {} }) {
  const arrivals = []
  const runs = []
  const sockets = new Set()
  let behave = handle

  const onRequest = (socket, { startLine, headers, body }) => {
    const at = performance.now()
    const [method, path] = startLine.split(' ')
    const attemptId = headers['attempt-id']
    if (path === '/health') return socket.write(`HTTP/1.1 200 OK\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`)
    const expected = headers['expect-instance']
    const arrival = { at, id, attemptId, method, path, bodyHash: hashOf(body), deadlineMs: Number(headers['deadline-ms']), isMisdirected: expected !== undefined && expected !== id }
    arrivals.push(arrival)
    if (arrival.isMisdirected) return socket.write(`HTTP/1.1 421 X\r\nAttempt-Id: ${attemptId}\r\nInstance-Id: ${id}\r\nContent-Length: 0\r\n\r\n`)
    const request = {
      ...arrival,
      headers,
      body,
      socket,
      startRun: () => {
        arrival.hasRun = true
        runs.push({ at, id, attemptId })
      },
      answer: options => { if (!socket.destroyed) socket.write(answerBytes(id, attemptId, options)) },
      refuse: (status, refusalHeaders) => { if (!socket.destroyed) socket.write(refusalBytes(attemptId, status, refusalHeaders)) },
      run: (ms, options) => {
        request.startRun()
        setTimeout(() => {
          arrival.answeredAt = performance.now()
          arrival.wasOpen = !socket.destroyed
          request.answer(options)
        }, ms)
      }
    }
    socket.once('close', () => { arrival.closedAt = performance.now() })
    behave(request)
  }

  const server = createServer({ noDelay: true }, socket => {
    sockets.add(socket)
    const parser = createParser(message => onRequest(socket, message))
    socket.setMaxListeners(0)
    socket.on('data', parser.push)
    socket.on('error', () => {}).on('close', () => sockets.delete(socket))
  })
  const listen = () => new Promise((resolve, reject) => server.once('error', reject).listen(port, address, resolve))
  await listen()
  const bound = server.address().port
  const register = (overrides = {}) => store.put('servers', id, {
    service,
    address: `${address}:${bound}`,
    zone: 'zone-a',
    'config-version': 'v1',
    'max-concurrency': slots,
    state: 'ready',
    'warmup-left-s': 0,
    sequence: 1,
    born: 1796000000000,
    ...entry,
    ...overrides
  })
  register()
  return {
    id,
    address,
    port: bound,
    arrivals,
    runs,
    register,
    deregister: () => store.remove('servers', id),
    setBehaviour: next => { behave = next },
    sockets,
    /** The process crashes: all connections are reset and the port refuses until `restart`. */
    crash: () => {
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
    },
    restart: () => new Promise(resolve => server.listen(bound, address, resolve)),
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}
