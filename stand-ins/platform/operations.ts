/**
 * HTTP operations of the platform stand-in. Bodies are JSON, except those of objects.
 *
 * | request | body | response |
 * |---|---|---|
 * | `POST /table/read` | `{keys}` | `{rows}`, null for a missing row |
 * | `POST /table/transact` | `{writes: [{key, value, expect}], conditions: [{key, expect}]}`, a null value deletes the row, conditions are optional | `{outcome}` |
 * | `GET /objects/<key>`, `PUT /objects/<key>` | bytes | bytes, or 404 |
 * | `GET /vms` | | `{vms: [{vm, state}]}` |
 * | `POST /control/faults` | faults; omitted ones are cleared | the active faults |
 * | `POST /control/vms` | `{vms}`, replaces the whole list | |
 * | `GET /control/stats`, `POST /control/reset-stats` | | counters |
 */
import type { ServerResponse } from 'node:http'
import type { Clock } from '../../src/model/index.js'
import { NO_FAULTS, type Faults } from './faults.js'
import { decodeBody } from './protocol.js'
import type { Store } from './store.js'

/** Request counts since the start or the last reset; `writes` includes transactions without effect. */
export interface Stats {
  readonly reads: number
  readonly rowsRead: number
  readonly writes: number
  readonly rowsWritten: number
  readonly conflicts: number
  readonly objectReads: number
  readonly objectWrites: number
  readonly lists: number
}

/** Mutable form of {@link Stats}. */
export type Counters = { -readonly [Name in keyof Stats]: number }

/** State of a platform stand-in. */
export interface PlatformState {
  readonly store: Store
  readonly counters: Counters
  faults: Faults
  readonly clock: Clock
}

/** A request with its complete body. */
export interface IncomingRequest {
  readonly method: string
  readonly path: string
  readonly body: Buffer
}

/** Response of an operation. */
export interface OperationResponse {
  readonly status: number
  readonly body: unknown
  /** Whether a write was processed, so that the loss of its acknowledgement can be simulated. */
  readonly hasWritten: boolean
}

/** Creates counters that are all zero. */
export function createCounters (): Counters {
  return { reads: 0, rowsRead: 0, writes: 0, rowsWritten: 0, conflicts: 0, objectReads: 0, objectWrites: 0, lists: 0 }
}

const respond = (body: unknown, hasWritten = false): OperationResponse => ({ status: 200, body, hasWritten })

function readRows (state: PlatformState, { body }: IncomingRequest): OperationResponse {
  const { keys } = decodeBody('read', body.toString())
  state.counters.reads += 1
  state.counters.rowsRead += keys.length
  const rows = state.store.read(keys, state.clock(), state.faults.readLagMs)
  return respond({ rows: rows.map(row => row ?? null) })
}

function transact (state: PlatformState, { body }: IncomingRequest): OperationResponse {
  const { writes: requestedWrites, conditions } = decodeBody('transact', body.toString())
  const writes = requestedWrites.map(write => ({ ...write, value: write.value ?? undefined }))
  const outcome = state.store.transact(writes, state.clock(), conditions)
  state.counters.writes += 1
  if (outcome === 'committed') state.counters.rowsWritten += writes.length
  else state.counters.conflicts += 1
  return respond({ outcome }, writes.length > 0)
}

function getObject (state: PlatformState, { path }: IncomingRequest): OperationResponse {
  state.counters.objectReads += 1
  const value = state.store.getObject(path.slice('/objects/'.length))
  return value === undefined ? { status: 404, body: { detail: 'no such object' }, hasWritten: false } : respond(value)
}

function putObject (state: PlatformState, { path, body }: IncomingRequest): OperationResponse {
  state.counters.objectWrites += 1
  state.store.putObject(path.slice('/objects/'.length), body)
  return respond({}, true)
}

function listVMs (state: PlatformState): OperationResponse {
  state.counters.lists += 1
  return respond({ vms: state.store.listVMs(state.clock(), state.faults.listLagMs) })
}

function setFaults (state: PlatformState, { body }: IncomingRequest): OperationResponse {
  state.faults = { ...NO_FAULTS, ...decodeBody('faults', body.toString()) }
  return respond(state.faults)
}

function setVMs (state: PlatformState, { body }: IncomingRequest): OperationResponse {
  state.store.setVMs(decodeBody('vms', body.toString()).vms, state.clock())
  return respond({})
}

function resetStats (state: PlatformState): OperationResponse {
  Object.assign(state.counters, createCounters())
  return respond(state.counters)
}

type Operation = (state: PlatformState, request: IncomingRequest) => OperationResponse

const operations: ReadonlyArray<readonly [string, RegExp, Operation]> = [
  ['POST', /^\/table\/read$/, readRows],
  ['POST', /^\/table\/transact$/, transact],
  ['GET', /^\/objects\/.+$/, getObject],
  ['PUT', /^\/objects\/.+$/, putObject],
  ['GET', /^\/vms$/, listVMs],
  ['POST', /^\/control\/faults$/, setFaults],
  ['POST', /^\/control\/vms$/, setVMs],
  ['GET', /^\/control\/stats$/, state => respond(state.counters)],
  ['POST', /^\/control\/reset-stats$/, resetStats]
]

/** Handles one request. A malformed body results in 400 without any effect. */
export function handleRequest (state: PlatformState, request: IncomingRequest): OperationResponse {
  const operation = operations.find(([method, path]) => method === request.method && path.test(request.path))?.[2]
  if (operation === undefined) return { status: 404, body: { detail: 'no such operation' }, hasWritten: false }
  try {
    return operation(state, request)
  } catch (error) {
    return { status: 400, body: { detail: String(error) }, hasWritten: false }
  }
}

/** Sends a response: byte arrays unchanged, other values as JSON. */
export function sendResponse (response: ServerResponse, { status, body }: OperationResponse): void {
  const bytes = body instanceof Uint8Array ? body : Buffer.from(JSON.stringify(body))
  response.writeHead(status, { 'content-length': bytes.length }).end(bytes)
}
