/** Stand-ins of upstreams: HTTP/1.1 servers that follow PROTOCOL.md, registered in the store. For the scripts of the review only. */
import { createHash } from 'node:crypto'
import { createServer } from 'node:http'

const IDLE_CLOSE_MS = 10_000

export const sealOf = (attemptId, body) => createHash('sha256').update(attemptId).update(body).digest('hex').slice(0, 24)

/** The body of an answer, which follows from the id of the attempt, so that the client can check it. */
export function bodyOf (attemptId, bytes) {
  const line = `${attemptId} `
  return Buffer.from(line.repeat(Math.ceil(bytes / line.length)).slice(0, bytes))
}

/**
 * Starts an upstream and registers it.
 *
 * @param answer called with the request, the response and the upstream, after the instance was checked and the body read
 */
export async function startUpstream ({ store, record }, { id, address, service, zone, slots = 4 }, answer) {
  const upstream = { id, address, service, zone, runs: [], running: 0 }
  const server = createServer({ keepAliveTimeout: IDLE_CLOSE_MS }, (incoming, response) => {
    const { headers } = incoming
    if (incoming.url === '/health') return response.writeHead(200, { 'Instance-Id': id }).end()
    const attemptId = headers['attempt-id']
    const echo = attemptId === undefined ? {} : { 'Attempt-Id': attemptId }
    if (attemptId === undefined) return response.writeHead(400, { 'Not-Executed': '1' }).end()
    if (headers['expect-instance'] !== undefined && headers['expect-instance'] !== id) return response.writeHead(421, { ...echo, 'Instance-Id': id }).end()
    if (upstream.running >= slots) {
      record.write(`${id} sheds ${attemptId}`)
      return response.writeHead(503, { ...echo, 'Not-Executed': '1' }).end()
    }
    const run = { attemptId, method: incoming.method, path: incoming.url, at: record.now(), endedAt: undefined, brokenOffAt: undefined, isGarbled: false }
    upstream.runs.push(run)
    upstream.running++
    record.write(`${id} runs ${attemptId} ${incoming.method} ${incoming.url}`)
    let isOver = false
    const end = what => {
      if (isOver) return
      isOver = true
      upstream.running--
      record.write(`${id} ${what} ${attemptId}`)
    }
    response.on('finish', () => {
      run.endedAt = record.now()
      end('has answered')
    })
    response.on('close', () => {
      if (!isOver) run.brokenOffAt = record.now()
      end('drops')
    })
    incoming.on('error', () => {}).resume()
    incoming.on('end', () => answer({ incoming, response, run, upstream, attemptId }))
  })
  server.on('connection', socket => socket.setNoDelay(true))
  await new Promise(resolve => { server.listen(0, address, resolve) })
  upstream.endpoint = `${address}:${server.address().port}`
  upstream.register = state => store.write('servers', id, {
    service, address: upstream.endpoint, zone, 'config-version': 'v1', 'max-concurrency': slots, state, 'warmup-left-s': 0, sequence: 1, born: 1777632697000
  })
  await upstream.register('ready')
  return upstream
}

/** Answers with a whole body after the work time. */
export function answerWhole ({ response, attemptId }, { workMs, bytes }) {
  const body = bodyOf(attemptId, bytes)
  setTimeout(() => {
    if (response.destroyed) return
    response.writeHead(200, { 'Attempt-Id': attemptId, 'Upstream-Seal': sealOf(attemptId, body), 'Content-Length': body.length })
    response.end(body)
  }, workMs)
}
