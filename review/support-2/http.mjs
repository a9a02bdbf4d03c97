/** Incremental parser of HTTP/1.1 messages, for the stand-ins of clients and upstreams. */

const HEAD_END = '\r\n\r\n'

function parseHead (text) {
  const [startLine, ...lines] = text.split('\r\n')
  const headers = {}
  for (const line of lines) {
    const colon = line.indexOf(':')
    headers[line.slice(0, colon).toLowerCase()] = line.slice(colon + 1).trim()
  }
  return { startLine, headers }
}

/** Returns the decoded chunked body at the start of the bytes and its length; undefined if it is incomplete. */
function parseChunked (bytes) {
  const parts = []
  let offset = 0
  for (;;) {
    const lineEnd = bytes.indexOf('\r\n', offset)
    if (lineEnd < 0) return undefined
    const size = Number.parseInt(bytes.toString('latin1', offset, lineEnd), 16)
    const start = lineEnd + 2
    if (Number.isNaN(size)) return { body: Buffer.concat(parts), length: start, isMalformed: true }
    if (bytes.length < start + size + 2) return undefined
    if (size === 0) return { body: Buffer.concat(parts), length: start + 2 }
    parts.push(bytes.subarray(start, start + size))
    offset = start + size + 2
  }
}

/**
 * Creates a parser.
 *
 * @param onMessage receives each complete message with its start line, headers and body
 * @param options.onHead receives each head as soon as it is complete
 * @param options.endsWithConnection whether a message without framing has a body up to the end of the connection
 */
export function createParser (onMessage, { onHead = () => {}, endsWithConnection = false } = {}) {
  let bytes = Buffer.alloc(0)
  let head

  const takeBody = () => {
    const { 'content-length': length, 'transfer-encoding': coding } = head.headers
    if (coding !== undefined) return parseChunked(bytes)
    if (length !== undefined) return bytes.length >= Number(length) ? { body: bytes.subarray(0, Number(length)), length: Number(length) } : undefined
    const status = Number(/^HTTP\/1\.1 (\d+)/.exec(head.startLine)?.[1] ?? 0)
    const isWithoutBody = !endsWithConnection || status < 200 || status === 204 || status === 304
    return isWithoutBody ? { body: Buffer.alloc(0), length: 0 } : undefined
  }

  const parse = () => {
    for (;;) {
      if (head === undefined) {
        const end = bytes.indexOf(HEAD_END)
        if (end < 0) return
        head = parseHead(bytes.toString('latin1', 0, end))
        bytes = bytes.subarray(end + HEAD_END.length)
        onHead(head)
      }
      const found = takeBody()
      if (found === undefined) return
      bytes = bytes.subarray(found.length)
      const message = { ...head, body: Buffer.from(found.body) }
      head = undefined
      onMessage(message)
    }
  }

  return {
    push: chunk => {
      bytes = Buffer.concat([bytes, chunk])
      parse()
    },
    /** The end of the connection; completes a message without framing. */
    end: () => {
      if (head === undefined || head.headers['content-length'] !== undefined || head.headers['transfer-encoding'] !== undefined) return
      const message = { ...head, body: bytes }
      head = undefined
      bytes = Buffer.alloc(0)
      onMessage(message)
    },
    isPartial: () => head !== undefined || bytes.length > 0
  }
}
