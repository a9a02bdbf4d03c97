/** Fakes of the modules, callers and targets around the entry. For tests only. */
import { createServer, type RequestListener } from 'node:http'
import { connect, createServer as createNetServer, type AddressInfo, type Server, type Socket } from 'node:net'
import { Effect } from 'effect'
import { err, ok } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type {
  Admission, ClaimRequest, ClaimResult, Claims, Class, Endpoint, Observation, RecordedResponse, Service, Target
} from '../model/index.js'
import { createEntry, type Entry, type EntryOptions, type FinishedRequest, type Limits } from './index.js'

export const ADDRESS = '127.0.0.1'

const CLASSES: readonly Class[] = [
  { name: 'read', idempotent: true, deadlineMs: 2000, priority: 1 },
  { name: 'write', idempotent: false, deadlineMs: 2000, priority: 1 }
]

const LIMITS: Limits = {
  headerBytes: 16_384,
  bodyBytes: 1 << 30,
  headerTimeMs: 5000,
  idleTimeMs: 5000,
  requestLimitMs: 60_000,
  connections: 1000,
  stopLimitMs: 10_000
}

/** A loopback server that tests can close together with all its connections. */
export interface LoopbackServer extends Endpoint {
  readonly sockets: ReadonlySet<Socket>
  readonly close: () => Promise<void>
}

const ADDRESSES_PER_BLOCK = 250
let addressCount = 0

/**
 * Returns a loopback address that no other server of this process uses.
 *
 * On a shared address, the system may assign the port of a closed server to another
 * server at once, and requests to the closed server would then run at the other one.
 */
function uniqueLoopbackAddress (): string {
  const count = addressCount++
  const block = Math.floor(count / ADDRESSES_PER_BLOCK)
  return `127.${64 + process.pid % 128}.${block}.${1 + count % ADDRESSES_PER_BLOCK}`
}

/** Starts a server on a unique loopback address. */
export async function listenOn (server: Server): Promise<LoopbackServer> {
  const sockets = new Set<Socket>()
  server.on('connection', (socket: Socket) => {
    sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => sockets.delete(socket))
  })
  const address = uniqueLoopbackAddress()
  await new Promise<void>(resolve => { server.listen(0, address, resolve) })
  const { port } = server.address() as AddressInfo
  return {
    address,
    port,
    sockets,
    close: () => new Promise(resolve => {
      server.close(() => resolve())
      for (const socket of sockets) socket.destroy()
    })
  }
}

/** Starts a target that uses the HTTP server of Node.js. */
export function startHttpTarget (listener: RequestListener): Promise<LoopbackServer> {
  return listenOn(createServer(listener))
}

/** Starts a target that is scripted at the byte level. */
export function startRawTarget (onSocket: (socket: Socket) => void): Promise<LoopbackServer> {
  return listenOn(createNetServer(onSocket))
}

/** Creates the configuration of a target. */
export function targetAt ({ address, port }: Endpoint, id = `${address}:${port}`, place = 'riga-a'): Target {
  return { id, address, port, place, slots: 4, connections: 100 }
}

/** Events recorded by the fakes around an entry under test. */
export interface RecordedEvents {
  readonly observations: Observation[]
  readonly finished: FinishedRequest[]
  readonly claimed: ClaimRequest[]
  readonly recorded: RecordedResponse[]
  readonly abandoned: string[]
  readonly slotsInUse: () => number
}

/** An entry under test. */
export interface TestEntry extends RecordedEvents {
  readonly entry: Entry
  readonly port: number
  readonly close: () => Promise<void>
}

export interface TestOptions {
  readonly targets: readonly Target[]
  /** Total number of retries that the budget allows. */
  readonly retries?: number
  readonly limits?: Partial<Limits>
  readonly overrides?: Partial<EntryOptions>
  /** Wraps the admission that selects the targets. */
  readonly wrapAdmission?: (inner: Admission) => Admission
  readonly classes?: readonly Class[]
}

/** Creates an admission that returns the first target that was not tried, and refuses when all were. */
function createFakeAdmission (targets: readonly Target[], observations: Observation[]): { admission: Admission, inUse: () => number } {
  let inUse = 0
  return {
    inUse: () => inUse,
    admission: {
      acquire: ({ avoid }) => Effect.suspend(() => {
        const target = targets.find(({ id }) => !avoid.has(id))
        if (target === undefined) return Effect.fail(refusal('no-target', 'every target was tried'))
        inUse++
        let isReleased = false
        return Effect.succeed({
          target,
          release: (observation: Observation | undefined) => {
            if (isReleased) return
            isReleased = true
            inUse--
            if (observation !== undefined) observations.push(observation)
          }
        })
      })
    }
  }
}

/**
 * Creates in-memory claims, which are kept until they are abandoned. The response to a repeated key is replayed;
 * the key is refused for a request with another fingerprint, before a response is recorded, and when the recorded
 * response has no body.
 */
function createFakeClaims (records: Pick<RecordedEvents, 'claimed' | 'recorded' | 'abandoned'>): Claims {
  const rows = new Map<string, { fingerprint: string, answer: RecordedResponse | undefined }>()
  return {
    claim: wanted => Effect.suspend((): Effect.Effect<ClaimResult, Refusal> => {
      const row = rows.get(wanted.idempotencyKey)
      if (row === undefined) {
        records.claimed.push(wanted)
        rows.set(wanted.idempotencyKey, { fingerprint: wanted.fingerprint, answer: undefined })
        return Effect.succeed({ kind: 'claimed' as const, claim: { key: wanted.idempotencyKey, nonce: 'n', fingerprint: wanted.fingerprint } })
      }
      if (row.fingerprint !== wanted.fingerprint) return Effect.fail(refusal('key-reused', wanted.idempotencyKey))
      if (row.answer === undefined) return Effect.fail(refusal('duplicate-in-progress', wanted.idempotencyKey))
      if (row.answer.body === undefined) return Effect.fail(refusal('duplicate-ran', wanted.idempotencyKey))
      return Effect.succeed({ kind: 'replay' as const, answer: row.answer })
    }),
    finish: (claim, answer) => {
      records.recorded.push(answer)
      rows.set(claim.key, { fingerprint: claim.fingerprint, answer })
    },
    abandon: claim => {
      records.abandoned.push(claim.key)
      rows.delete(claim.key)
    }
  }
}

/** Starts an entry. Requests below `/read` are idempotent, those below `/write` are not; other paths have no route. */
export async function startEntry (options: TestOptions): Promise<TestEntry> {
  const observations: Observation[] = []
  const finished: FinishedRequest[] = []
  const claimEvents = { claimed: [] as ClaimRequest[], recorded: [] as RecordedResponse[], abandoned: [] as string[] }
  const { admission, inUse } = createFakeAdmission(options.targets, observations)
  const classes = options.classes ?? CLASSES
  const service: Service = {
    name: 'listing', targets: options.targets, classes, floor: 1, preference: 'detection', queue: { length: 64, ageMs: 500 }
  }
  let retries = options.retries ?? 0
  const entry = createEntry({
    resolve: (_host, path) => {
      const found = classes.find(({ name }) => path.startsWith(`/${name}`))
      return found === undefined ? err(refusal('route-unknown', path)) : ok({ route: found.name, service, class: found })
    },
    checkServing: () => undefined,
    isQuarantined: () => false,
    admission: options.wrapAdmission?.(admission) ?? admission,
    claims: createFakeClaims(claimEvents),
    takeRetryToken: () => retries > 0 && retries-- > 0,
    earnRetryToken: () => {},
    resolveAddresses: query => ok({ service: query.get('service'), addresses: [], keepForMs: 5000 }),
    connectionLimit: () => 100,
    medianLatencyMs: () => undefined,
    observe: record => { finished.push(record) },
    log: { info: () => {}, warn: () => {}, error: (event, fields) => { console.error(event, fields) } },
    clock: () => performance.now(),
    ...options.overrides,
    limits: { ...LIMITS, ...options.limits }
  })
  const { port } = await Effect.runPromise(entry.listen({ address: ADDRESS, port: 0 } satisfies Endpoint))
  return {
    entry,
    port,
    observations,
    finished,
    ...claimEvents,
    slotsInUse: inUse,
    close: () => Effect.runPromise(entry.stop(-Infinity))
  }
}

/** A caller that uses a raw socket. */
export interface RawCaller {
  readonly socket: Socket
  readonly write: (bytes: string | Buffer) => void
  /** All bytes received so far, decoded as latin1. */
  readonly received: () => string
  /** Waits until the received bytes match the pattern; rejects if the connection closes first. */
  readonly until: (pattern: RegExp, timeoutMs?: number) => Promise<string>
  readonly closed: Promise<void>
}

const WAIT_TIMEOUT_MS = 5000

/** Opens a raw connection to the entry. */
export function openCaller (port: number): RawCaller {
  const socket = connect({ port, host: ADDRESS, noDelay: true })
  const parts: Buffer[] = []
  let onChange = (): void => {}
  let isClosed = false
  const received = (): string => Buffer.concat(parts).toString('latin1')
  socket.on('error', () => {})
  socket.on('data', (part: Buffer) => {
    parts.push(part)
    onChange()
  })
  const closed = new Promise<void>(resolve => {
    socket.on('close', () => {
      isClosed = true
      onChange()
      resolve()
    })
  })
  const until = (pattern: RegExp, timeoutMs = WAIT_TIMEOUT_MS): Promise<string> => new Promise((resolve, reject) => {
    const fail = (reason: string): void => reject(new Error(`${reason}, received ${JSON.stringify(received().slice(0, 500))}`))
    const timeout = setTimeout(() => fail(`no ${String(pattern)} within ${timeoutMs} ms`), timeoutMs)
    onChange = () => {
      const isFound = pattern.test(received())
      if (!isFound && !isClosed) return
      clearTimeout(timeout)
      if (isFound) resolve(received())
      else fail(`the connection closed before ${String(pattern)}`)
    }
    onChange()
  })
  return { socket, write: bytes => { socket.write(bytes) }, received, until, closed }
}

/** Sends bytes, waits until the entry closes the connection, and returns the received bytes. */
export async function sendAndRead (port: number, bytes: string): Promise<string> {
  const caller = openCaller(port)
  caller.write(Buffer.from(bytes, 'latin1'))
  await caller.closed
  return caller.received()
}

/** Waits for `ms` milliseconds. */
export function pause (ms: number): Promise<void> {
  return new Promise(resolve => { setTimeout(resolve, ms) })
}

/** Starts an entry in front of the targets, runs the test, and closes all of them. */
export async function withTargets (
  starting: ReadonlyArray<Promise<LoopbackServer>>,
  run: (test: TestEntry) => Promise<void>,
  options: Partial<TestOptions> = {}
): Promise<void> {
  const targets = await Promise.all(starting)
  const test = await startEntry({ targets: targets.map((target, index) => targetAt(target, `t-${index}`)), ...options })
  try {
    await run(test)
    await eventually(() => test.slotsInUse() === 0, 'every slot is released')
  } finally {
    await test.close()
    await Promise.all(targets.map(target => target.close()))
  }
}

/** Like `withTargets`, with one target that uses the HTTP server of Node.js. */
export function withEntry (
  listener: RequestListener,
  run: (test: TestEntry) => Promise<void>,
  options: Partial<TestOptions> = {}
): Promise<void> {
  return withTargets([startHttpTarget(listener)], run, options)
}

/** Polls until the condition holds; fails after `timeoutMs`. */
export async function eventually (condition: () => boolean, what: string, timeoutMs = WAIT_TIMEOUT_MS): Promise<void> {
  const end = performance.now() + timeoutMs
  while (!condition()) {
    if (performance.now() > end) throw new Error(`not within ${timeoutMs} ms: ${what}`)
    await pause(2)
  }
}
