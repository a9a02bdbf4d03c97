/**
 * Checks the line endings of HTTP messages, and the fields of their trailers.
 *
 * The parser of Node.js accepts a line feed without a carriage return after the first line of a message, at the
 * end of its head and after its last chunk, and any field in a trailer. Another parser may see other messages in
 * such bytes.
 */

/** First violation in a byte stream. */
export interface LineViolation {
  /** Number of complete messages before the one with the violation. */
  readonly message: number
  readonly detail: string
}

/** Follows the messages of one direction of a connection. */
export interface MessageLines {
  /** Follows the next bytes; bytes after a violation are ignored. */
  readonly push: (chunk: Buffer) => void
  /** Follows the next bytes, at least one, up to the end of a message. Returns their number. */
  readonly take: (chunk: Buffer) => number
  /** Whether a message has begun and has not ended; false if the bytes are no longer followed. */
  readonly isInMessage: () => boolean
  readonly violation: () => LineViolation | undefined
}

/** Start line and fields of a head, without line endings. */
export interface Head {
  readonly startLine: string
  readonly fields: readonly string[]
}

/** How the body after a head is framed: a number of bytes, in chunks, or unknown, so that nothing after the head is checked. */
export type Framing = { readonly kind: 'length', readonly bytes: number } | { readonly kind: 'chunked' } | { readonly kind: 'unknown' }

type State = 'start line' | 'fields' | 'chunk size' | 'chunk end' | 'trailer' | 'ended'

const LINE_FEED = 10
const NO_BODY: Framing = { kind: 'length', bytes: 0 }
/** Longer lines are not followed, because the parser refuses heads of this size. */
const MAX_LINE_BYTES = 128 * 1024
/** Fields that determine the framing or the destination of a message are allowed only in its head. */
const HEAD_ONLY_FIELD = /^(?:content-length|transfer-encoding|host|trailer|te|connection|expect)[ \t]*:/i

/** The framing that the fields of a head state; no body if they state none. */
export function framingOf ({ fields }: Head): Framing {
  if (fields.some(field => /^transfer-encoding:/i.test(field))) return { kind: 'chunked' }
  const length = fields.map(field => /^content-length:[ \t]*(\d+)[ \t]*$/i.exec(field)?.[1]).find(value => value !== undefined)
  return length === undefined ? NO_BODY : { kind: 'length', bytes: Number(length) }
}

/** The framing of a response to a request with the given method. */
export function responseFramingOf (method: string): (head: Head) => Framing {
  return head => {
    const status = Number(/^HTTP\/1\.[01] (\d{3})/.exec(head.startLine)?.[1] ?? 0)
    const isInterim = status >= 100 && status < 200
    if (isInterim || status === 204 || status === 304 || method === 'HEAD') return NO_BODY
    const framing = framingOf(head)
    // Without a framing field, the body ends with the connection.
    return framing === NO_BODY ? { kind: 'unknown' } : framing
  }
}

/**
 * Follows messages from the start of a connection, or of a response.
 *
 * @param framing returns the framing of the body after a head
 *
 * @example
 * const lines = createMessageLines(framingOf)
 * lines.push(Buffer.from('GET / HTTP/1.1\nHost: x\r\n\r\n'))
 * lines.violation() // { message: 0, detail: 'a line feed without a carriage return' }
 */
export function createMessageLines (framing: (head: Head) => Framing): MessageLines {
  let state: State = 'start line'
  let message = 0
  let violation: LineViolation | undefined
  /** Start of a line whose line feed has not arrived yet. */
  let partialLine = Buffer.alloc(0)
  /** Bytes of a body or chunk that are still to come. */
  let bodyBytes = 0
  let startLine = ''
  let fields: string[] = []

  const violate = (detail: string): void => {
    violation = { message, detail }
    state = 'ended'
  }

  const startBody = (): void => {
    const body = framing({ startLine, fields })
    fields = []
    if (body.kind === 'unknown') {
      state = 'ended'
      return
    }
    if (body.kind === 'length') {
      bodyBytes = body.bytes
      message++
    }
    state = body.kind === 'chunked' ? 'chunk size' : 'start line'
  }

  const handleLine = (line: string): void => {
    switch (state) {
      case 'start line':
        startLine = line
        state = 'fields'
        return
      case 'fields':
        if (line === '') return startBody()
        fields.push(line)
        return
      case 'chunk size':
        bodyBytes = Number.parseInt(line, 16)
        state = bodyBytes > 0 ? 'chunk end' : 'trailer'
        return
      case 'chunk end':
        if (line !== '') return violate('a chunk does not end with a line ending')
        state = 'chunk size'
        return
      case 'trailer':
        if (HEAD_ONLY_FIELD.test(line)) return violate(`the trailer field ${line.split(':')[0]?.trim()} is not allowed`)
        if (line !== '') return
        message++
        state = 'start line'
    }
  }

  const handleRawLine = (line: string): void => {
    const isTerminated = line.endsWith('\r')
    // Empty lines before a message delimit nothing.
    if (state === 'start line' && line.length <= 1 && (isTerminated || line === '')) return
    if (!isTerminated) return violate('a line feed without a carriage return')
    handleLine(line.slice(0, -1))
  }

  const hasEnded = (): boolean => state === 'ended'
  const isInMessage = (): boolean => !hasEnded() && (state !== 'start line' || bodyBytes > 0 || partialLine.length > 0)

  /** Follows bytes from an offset up to the end of a line or body. Returns the offset of its end. */
  const followPart = (chunk: Buffer, offset: number): number => {
    if (bodyBytes > 0) {
      const skipped = Math.min(bodyBytes, chunk.length - offset)
      bodyBytes -= skipped
      return offset + skipped
    }
    const lineFeed = chunk.indexOf(LINE_FEED, offset)
    const part = chunk.subarray(offset, lineFeed < 0 ? chunk.length : lineFeed)
    const line = partialLine.length === 0 ? part : Buffer.concat([partialLine, part])
    if (line.length > MAX_LINE_BYTES) {
      state = 'ended'
      return chunk.length
    }
    if (lineFeed < 0) {
      partialLine = Buffer.from(line)
      return chunk.length
    }
    partialLine = Buffer.alloc(0)
    handleRawLine(line.toString('latin1'))
    return lineFeed + 1
  }

  const take = (chunk: Buffer): number => {
    let offset = 0
    do {
      if (hasEnded()) return chunk.length
      offset = followPart(chunk, offset)
    } while (offset < chunk.length && isInMessage())
    // Nothing delimits messages any more.
    return hasEnded() ? chunk.length : offset
  }

  const push = (chunk: Buffer): void => {
    for (let offset = 0; offset < chunk.length;) offset += take(chunk.subarray(offset))
  }

  return { push, take, isInMessage, violation: () => violation }
}
