/** A target that injects a given fault at a given step of an exchange. For tests only. */
import { createServer, type Socket } from 'node:net'
import type { Endpoint } from '../model/index.js'
import { listenOn, pause, type LoopbackServer } from './fakes.fixture.js'

export const FAULTS = ['refused', 'reset', 'silent', 'freeze', 'truncated', 'late', '500', 'shed', 'kill'] as const
/**
 * - `refused`: accepts no further connections
 * - `reset`: resets the connection
 * - `silent`: stops reading and responding on the connection
 * - `freeze`: stops reading and responding, and continues after the deadline
 * - `truncated`: closes the connection gracefully
 * - `late`: continues reading, and responds after the deadline
 * - `500`, `shed`: sends an error or a shed response, unless a response was started
 * - `kill`: closes the listener and all connections, as when the process ends
 */
export type Fault = typeof FAULTS[number]

export const STEPS = [
  'before connect', 'connected', 'headers sent', 'body half sent', 'sent', 'answer started', 'half answered', 'answered'
] as const
export type Step = typeof STEPS[number]

export const RESPONSE_BODY = 'answer-ok!'

/** A target that counts its runs. A run starts when the complete request was received. */
export interface FaultyTarget extends Endpoint {
  readonly runs: () => number
  /** Injects a fault into the next request that reaches the step. */
  readonly injectFault: (fault: Fault, step: Step) => void
  readonly close: () => Promise<void>
}

/** Time for the peer to read what was written, in ms. */
const READ_PAUSE_MS = 20
const HEAD_END = '\r\n\r\n'

function responseBytes (status: string, body: string, fields = ''): string {
  return `HTTP/1.1 ${status}\r\nContent-Length: ${body.length}\r\n${fields}\r\n${body}`
}

type ResponseParts = ReadonlyArray<readonly [string, Step]>

const HALF = RESPONSE_BODY.length / 2

const partsOfKnownLength: ResponseParts = [
  [responseBytes('200 OK', RESPONSE_BODY).slice(0, -RESPONSE_BODY.length), 'answer started'],
  [RESPONSE_BODY.slice(0, HALF), 'half answered'],
  [RESPONSE_BODY.slice(HALF), 'answered']
]

/** Only the last chunk shows a caller that this response is complete; with Content-Length, it detects any truncation. */
const partsInChunks: ResponseParts = [
  ['HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n', 'answer started'],
  [`${HALF}\r\n${RESPONSE_BODY.slice(0, HALF)}\r\n`, 'half answered'],
  [`${HALF}\r\n${RESPONSE_BODY.slice(HALF)}\r\n0\r\n\r\n`, 'answered']
]

/** Responses to requests with an idempotency key have a Content-Length, other responses are chunked. */
const isKeyed = (head: string): boolean => /^idempotency-key:/im.test(head)

/** Reader of the bytes of a socket that were not consumed yet. */
interface Reader {
  readonly atLeast: (bytes: number) => Promise<void>
  readonly head: () => Promise<string>
  readonly take: (bytes: number) => void
}

/** Creates a reader that buffers the bytes of a socket as they arrive. */
function createReader (socket: Socket): Reader {
  let buffer = ''
  let wake = (): void => {}
  socket.on('data', part => {
    buffer += part.toString('latin1')
    wake()
  })
  const until = async (condition: () => boolean): Promise<void> => {
    while (!condition()) await new Promise<void>(resolve => { wake = resolve })
  }
  return {
    atLeast: bytes => until(() => buffer.length >= bytes),
    take: bytes => { buffer = buffer.slice(bytes) },
    head: async () => {
      await until(() => buffer.includes(HEAD_END))
      const head = buffer.slice(0, buffer.indexOf(HEAD_END))
      buffer = buffer.slice(head.length + HEAD_END.length)
      return head
    }
  }
}

/** Starts the target; temporary faults last for `pauseMs`. */
export async function startFaultyTarget (pauseMs: number): Promise<FaultyTarget> {
  let runs = 0
  let pendingFault: { readonly fault: Fault, readonly step: Step } | undefined
  // Without Nagle's algorithm, the bytes of each step are sent before a fault is applied.
  const server = createServer({ noDelay: true }, socket => { serve(socket).catch((error: unknown) => { console.error(error) }) })
  const listening: LoopbackServer = await listenOn(server)

  const applyFault = async (socket: Socket, fault: Fault, isResponding: boolean): Promise<'continue' | 'stop'> => {
    switch (fault) {
      case 'refused':
        server.close()
        return 'continue'
      case 'kill':
        server.close()
        for (const each of listening.sockets) each.destroy()
        return 'stop'
      case 'reset':
        socket.resetAndDestroy()
        return 'stop'
      case 'truncated':
        socket.end()
        return 'stop'
      case 'silent':
        socket.pause()
        return 'stop'
      case 'freeze':
        socket.pause()
        await pause(pauseMs)
        socket.resume()
        return 'continue'
      case 'late':
        await pause(pauseMs)
        return 'continue'
      default: {
        if (isResponding) return 'continue'
        socket.write(fault === '500' ? responseBytes('500 Failed', 'failed') : responseBytes('503 Busy', 'busy', 'Camphorbay-Run: not-run\r\n'))
        return 'stop'
      }
    }
  }

  /** Applies the pending fault of a step, if any; returns whether to continue after it. */
  const completeStep = async (socket: Socket, step: Step): Promise<boolean> => {
    if (pendingFault?.step !== step) return true
    const { fault } = pendingFault
    pendingFault = undefined
    // A reset discards bytes that the peer has not read yet.
    if (step === 'answered') await pause(READ_PAUSE_MS)
    const isResponding = STEPS.indexOf(step) >= STEPS.indexOf('answer started')
    return await applyFault(socket, fault, isResponding) === 'continue'
  }

  const isShed = (): boolean => pendingFault?.fault === 'shed' && pendingFault.step === 'sent'

  const serveRequest = async (socket: Socket, reader: Reader): Promise<boolean> => {
    await reader.atLeast(1)
    if (!await completeStep(socket, 'connected')) return false
    const head = await reader.head()
    if (!await completeStep(socket, 'headers sent')) return false
    const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0)
    await reader.atLeast(length / 2)
    if (!await completeStep(socket, 'body half sent')) return false
    await reader.atLeast(length)
    reader.take(length)
    if (!isShed()) runs++
    if (!await completeStep(socket, 'sent')) return false
    const parts = isKeyed(head) ? partsOfKnownLength : partsInChunks
    for (const [part, step] of parts) {
      if (socket.destroyed) return false
      await new Promise(resolve => { socket.write(part, 'latin1', resolve) })
      if (!await completeStep(socket, step)) return false
    }
    return true
  }

  const serve = async (socket: Socket): Promise<void> => {
    if (!await completeStep(socket, 'before connect')) return
    const reader = createReader(socket)
    while (!socket.destroyed && await serveRequest(socket, reader));
  }

  return {
    address: listening.address,
    port: listening.port,
    runs: () => runs,
    injectFault: (fault, step) => {
      pendingFault = { fault, step }
      if (step !== 'before connect') return
      // Before a connection exists, these faults are applied at once rather than on the next connection.
      if (fault === 'refused' || fault === 'kill' || listening.sockets.size > 0) {
        pendingFault = undefined
        if (listening.sockets.size === 0) server.close()
        for (const socket of listening.sockets) applyFault(socket, fault, false).catch(() => {})
      }
    },
    close: listening.close
  }
}
