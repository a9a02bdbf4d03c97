/** A stand-in for an upstream: HTTP/1.1 with one request at a time on a connection, registered in the store. */
import net from 'node:net'

const HEARTBEAT_MS = 1500

/** Follows the requests of one connection. `onRequest(request)` is called with each whole request. */
function createRequestParser (onHead, onRequest) {
  let data = Buffer.alloc(0)
  let request
  let remaining = 0
  let mode = 'head'
  const finish = () => {
    const finished = request
    request = undefined
    mode = 'head'
    finished.body = Buffer.concat(finished.chunks)
    finished.isWhole = true
    onRequest(finished)
  }
  const readHead = () => {
    const end = data.indexOf('\r\n\r\n')
    if (end < 0) return false
    const [startLine, ...lines] = data.subarray(0, end).toString('latin1').split('\r\n')
    data = data.subarray(end + 4)
    const [method, path] = startLine.split(' ')
    const headers = {}
    for (const line of lines) {
      const colon = line.indexOf(':')
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
    }
    request = { startLine, method, path, headers, chunks: [], isWhole: false, at: performance.now() }
    onHead(request)
    if (/chunked/i.test(headers['transfer-encoding'] ?? '')) mode = 'size'
    else {
      remaining = Number(headers['content-length'] ?? 0)
      mode = 'length'
      if (remaining === 0) finish()
    }
    return true
  }
  const step = () => {
    if (mode === 'head') return readHead()
    if (mode === 'length' || mode === 'chunk') {
      if (data.length === 0) return false
      const part = data.subarray(0, remaining)
      data = data.subarray(part.length)
      remaining -= part.length
      request.chunks.push(part)
      if (remaining > 0) return false
      if (mode === 'length') finish()
      else mode = 'chunk end'
      return true
    }
    const end = data.indexOf('\r\n')
    if (end < 0) return false
    const line = data.subarray(0, end).toString('latin1')
    data = data.subarray(end + 2)
    if (mode === 'chunk end') mode = 'size'
    else if (mode === 'size') {
      remaining = Number.parseInt(line, 16)
      mode = remaining > 0 ? 'chunk' : 'trailer'
    } else if (mode === 'trailer' && line === '') finish()
    return true
  }
  return chunk => {
    data = data.length === 0 ? chunk : Buffer.concat([data, chunk])
    while (step());
  }
}

/** Text of a response head. */
export function headOf (status, headers) {
  return `HTTP/1.1 ${status} X\r\n${Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`).join('')}\r\n`
}

/** Answers health checks and requests for another instance; returns false for all others. */
export function answerCheck ({ request, socket, upstream }) {
  const expected = request.headers['expect-instance']
  if (expected !== undefined && expected !== upstream.id) {
    socket.write(headOf(421, { 'Content-Length': 0, 'Attempt-Id': request.headers['attempt-id'] ?? '' }))
    return true
  }
  if (request.method !== 'GET' || request.headers['attempt-id'] !== undefined) return false
  socket.write(headOf(200, { 'Content-Length': 2, 'Instance-Id': upstream.id }) + 'ok')
  return true
}

/**
 * Creates an upstream. `behave({ request, socket, upstream })` decides about each request that has arrived whole;
 * `onHead` is called when its head has arrived.
 */
export function createUpstream ({ id, service, ip, port, zone, slots = 4, store, behave, onHead = () => {} }) {
  const sockets = new Set()
  let server
  let heartbeat
  let sequence = 0
  let born = Date.now()
  let state = 'ready'
  const upstream = { id, service, ip, zone, port, sockets, isUp: false, isSilent: false, running: new Set() }

  const write = () => store.put('servers', upstream.id, {
    service, address: `${ip}:${upstream.port}`, zone, 'config-version': 'v1', 'max-concurrency': slots, state, 'warmup-left-s': 0, sequence: ++sequence, born
  })

  const accept = socket => {
    sockets.add(socket)
    socket.setNoDelay(true)
    const parse = createRequestParser(request => onHead({ request, socket, upstream }), request => behave({ request, socket, upstream }))
    socket.on('data', parse)
    socket.on('error', () => {})
    socket.on('end', () => { socket.end() })
    socket.on('close', () => sockets.delete(socket))
  }

  const open = () => new Promise(resolve => {
    server = net.createServer({ allowHalfOpen: true }, accept)
    server.listen(upstream.port ?? 0, ip, () => {
      upstream.port = server.address().port
      upstream.isUp = true
      resolve()
    })
  })

  return Object.assign(upstream, {
    /** Starts the upstream, as another one if another id is given. */
    start: async (newId = upstream.id) => {
      upstream.id = newId
      upstream.isSilent = false
      born = Date.now()
      sequence = 0
      state = 'ready'
      await open()
      write()
      heartbeat = setInterval(write, HEARTBEAT_MS)
    },
    /** Reports that it leaves, and goes on serving. */
    drain: () => {
      state = 'draining'
      write()
    },
    /** Crashes without a sign: until `crash` and `start`, `behave` sees `isSilent`, and nothing is written. */
    fallSilent: () => {
      clearInterval(heartbeat)
      upstream.isSilent = true
    },
    /** Ends at once, as when the process crashes: its connections are reset and it writes nothing more. */
    crash: () => {
      clearInterval(heartbeat)
      upstream.isUp = false
      server.close()
      for (const socket of sockets) socket.resetAndDestroy()
    },
    stop: () => {
      clearInterval(heartbeat)
      upstream.isUp = false
      server?.close()
      for (const socket of sockets) socket.destroy()
    }
  })
}
