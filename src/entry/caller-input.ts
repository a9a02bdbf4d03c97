/**
 * The bytes of a caller's connection on their way to the parser.
 *
 * While the connection has no room for a further request, the bytes behind the last one are held instead of parsed.
 * The socket is still read, because only reading shows that the caller closed the connection.
 */
import type { Socket } from 'node:net'
import type { MessageLines } from './message-lines.js'

/** Bytes that are held for a connection; beyond it, the socket is not read. */
const MAX_HELD_BYTES = 256 * 1024

/** A held chunk counts as at least this many bytes, because even an empty one takes memory. */
const MIN_CHUNK_BYTES = 1024

/**
 * Time in ms without room after which a socket that is not read is read again, and its bytes are discarded: the close
 * of the connection may be behind them.
 */
const MAX_UNREAD_MS = 250

/** Passes the input of a connection to its parser, request by request. */
export interface CallerInput {
  /** Passes on held requests soon; to be called when there may be room for one. */
  readonly passHeld: () => void
  readonly isHolding: () => boolean
  /** Whether bytes were discarded. The connection then has to close after the last request that was passed on. */
  readonly isDiscarding: () => boolean
}

/**
 * Takes over the input of a socket whose first byte was not read yet.
 *
 * @param lines follows the bytes that are passed on
 * @param hasRoom whether the connection may begin a further request
 *
 * @example
 * const input = createCallerInput(socket, createMessageLines(framingOf), order.hasRoom)
 * order.remove(exchange)
 * input.passHeld()
 */
export function createCallerInput (socket: Socket, lines: MessageLines, hasRoom: () => boolean): CallerInput {
  const pushToParser = socket.push.bind(socket)
  const readSocket = socket._read.bind(socket)
  let held: readonly Buffer[] = []
  let heldBytes = 0
  let isDiscarding = false
  let unreadTimeout: NodeJS.Timeout | undefined

  const canPass = (): boolean => lines.isInMessage() || (hasRoom() && socket.readableLength === 0)

  /** Passes on what there is room for; returns the rest, and whether the parser accepts more. */
  const pass = (chunk: Buffer): { readonly rest: Buffer, readonly isWritable: boolean } => {
    let rest = chunk
    let isWritable = true
    while (rest.length > 0 && canPass()) {
      const length = lines.take(rest)
      isWritable = pushToParser(rest.subarray(0, length))
      rest = rest.subarray(length)
    }
    return { rest, isWritable }
  }

  const isFull = (): boolean => heldBytes >= MAX_HELD_BYTES

  const setHeld = (chunks: readonly Buffer[]): void => {
    const wasFull = isFull()
    held = chunks
    heldBytes = chunks.reduce((sum, { length }) => sum + Math.max(length, MIN_CHUNK_BYTES), 0)
    clearTimeout(unreadTimeout)
    if (isFull()) unreadTimeout = setTimeout(discard, MAX_UNREAD_MS)
    else if (wasFull) readSocket(0)
  }

  const discard = (): void => {
    if (hasRoom()) return
    isDiscarding = true
    setHeld([])
  }

  const hold = (chunk: Buffer): boolean => {
    setHeld([...held, chunk])
    return !isFull()
  }

  const receive = (chunk: Buffer): boolean => {
    if (isDiscarding) return true
    if (held.length > 0) return hold(chunk)
    const { rest, isWritable } = pass(chunk)
    return rest.length === 0 ? isWritable : hold(rest)
  }

  const passHeldNow = (): void => {
    while (held.length > 0 && canPass() && !socket.destroyed) {
      const [first = Buffer.alloc(0), ...others] = held
      const { rest } = pass(first)
      setHeld(rest.length === 0 ? others : [rest, ...others])
    }
  }

  socket.push = (chunk: unknown) => {
    if (Buffer.isBuffer(chunk)) return receive(chunk)
    setHeld([])
    return pushToParser(chunk)
  }
  // The stream asks for more whenever its own buffer is empty.
  socket._read = size => { if (!isFull()) readSocket(size) }
  socket.once('close', () => setHeld([]))

  return {
    // Later, because the parser must not be called while it handles a request.
    passHeld: () => { if (held.length > 0) setImmediate(passHeldNow) },
    isHolding: () => held.length > 0,
    isDiscarding: () => isDiscarding
  }
}
