/** A caller's connection, with its own parser of responses. */
import net from 'node:net'

/** Opens a connection. `onResponse({ status, headers, body, isComplete, at })` is called for each response; `onClose()` at its end. */
export function openConnection ({ ip, port, localAddress }, { onResponse = () => {}, onClose = () => {}, onBytes = () => {} }) {
  const socket = net.connect({ host: ip, port, localAddress, noDelay: true })
  let data = Buffer.alloc(0)
  let head
  let chunks = []
  let remaining = 0
  let mode = 'head'

  const finish = isComplete => {
    const response = { ...head, body: Buffer.concat(chunks), isComplete, at: performance.now() }
    head = undefined
    chunks = []
    mode = 'head'
    onResponse(response)
  }
  const takeLine = () => {
    const end = data.indexOf('\r\n')
    if (end < 0) return undefined
    const line = data.subarray(0, end).toString('latin1')
    data = data.subarray(end + 2)
    return line
  }
  const readHead = () => {
    const end = data.indexOf('\r\n\r\n')
    if (end < 0) return false
    const [startLine, ...lines] = data.subarray(0, end).toString('latin1').split('\r\n')
    data = data.subarray(end + 4)
    const match = /^HTTP\/1\.1 (\d{3})/.exec(startLine)
    if (match === null) {
      mode = 'invalid'
      onResponse({ status: 0, headers: {}, body: Buffer.from(startLine), isComplete: false, at: performance.now() })
      return false
    }
    const headers = {}
    for (const line of lines) {
      const colon = line.indexOf(':')
      headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
    }
    const status = Number(match[1])
    if (status < 200) return true
    head = { status, headers }
    if (/chunked/i.test(headers['transfer-encoding'] ?? '')) mode = 'size'
    else if (headers['content-length'] !== undefined) {
      remaining = Number(headers['content-length'])
      mode = 'length'
    } else if (status === 204 || status === 304) finish(true)
    else mode = 'close'
    return true
  }
  const step = () => {
    if (mode === 'invalid') return false
    if (mode === 'head') return readHead()
    if (mode === 'length' || mode === 'chunk') {
      const part = data.subarray(0, remaining)
      data = data.subarray(part.length)
      remaining -= part.length
      if (part.length > 0) chunks.push(part)
      if (remaining > 0) return false
      if (mode === 'length') finish(true)
      else mode = 'chunk end'
      return true
    }
    if (mode === 'close') {
      if (data.length > 0) chunks.push(data)
      data = Buffer.alloc(0)
      return false
    }
    const line = takeLine()
    if (line === undefined) return false
    if (mode === 'chunk end') mode = 'size'
    else if (mode === 'size') {
      remaining = Number.parseInt(line, 16)
      mode = remaining > 0 ? 'chunk' : 'trailer'
    } else if (mode === 'trailer' && line === '') finish(true)
    return true
  }
  socket.on('data', chunk => {
    onBytes(chunk)
    data = data.length === 0 ? chunk : Buffer.concat([data, chunk])
    while (step());
  })
  let hasEnded = false
  socket.on('end', () => {
    hasEnded = true
    if (head !== undefined) finish(mode === 'close')
  })
  socket.on('error', () => {})
  socket.on('close', () => {
    if (head !== undefined) finish(false)
    onClose({ hasEnded })
  })
  return socket
}
