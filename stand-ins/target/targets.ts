import { createServer, type IncomingMessage, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { isFaultKind, parseFault } from './faults.js'
import type { TargetsSpec } from './spec.js'
import { createTargetStandIn, type TargetHost, type TargetStandIn } from './target.js'

/** Several targets with a shared control listener. */
export interface Targets {
  readonly targets: readonly TargetStandIn[]
  readonly control: { readonly address: string, readonly port: number }
  readonly close: () => Promise<void>
}

interface ControlResponse {
  readonly status: number
  readonly body: unknown
}

const NOT_FOUND: ControlResponse = { status: 404, body: { error: 'no such target or operation' } }
const OK: ControlResponse = { status: 200, body: {} }

async function readJSON (request: IncomingMessage): Promise<unknown> {
  const chunks: Buffer[] = []
  for await (const chunk of request) chunks.push(chunk as Buffer)
  try {
    return JSON.parse(Buffer.concat(chunks).toString())
  } catch {
    return undefined
  }
}

const describe = ({ spec, port, faults }: TargetStandIn): unknown => ({ ...spec, port, faults: faults() })

function setFault (target: TargetStandIn, value: unknown): ControlResponse {
  return parseFault(value).match(
    fault => {
      target.setFault(fault)
      return OK
    },
    error => ({ status: 400, body: { error } })
  )
}

function clearFaults (target: TargetStandIn, kind: string | undefined): ControlResponse {
  const kinds = kind === undefined ? target.faults().map(fault => fault.kind) : [kind].filter(isFaultKind)
  for (const faultKind of kinds) target.clearFault(faultKind)
  return kinds.length > 0 || kind === undefined ? OK : NOT_FOUND
}

async function handleControl (targets: readonly TargetStandIn[], request: IncomingMessage): Promise<ControlResponse> {
  const [root, id, resource, kind] = (request.url ?? '').split('/').slice(1).map(decodeURIComponent)
  const operation = `${request.method ?? ''} ${resource ?? ''}`
  if (root !== 'targets') return NOT_FOUND
  if (id === undefined) return { status: 200, body: targets.map(describe) }
  const target = targets.find(({ spec }) => spec.id === id)
  if (target === undefined) return NOT_FOUND
  if (operation === 'GET ') return { status: 200, body: describe(target) }
  if (operation === 'GET tally') return { status: 200, body: target.tally() }
  if (operation === 'PUT faults') return setFault(target, await readJSON(request))
  if (operation === 'DELETE faults') return clearFaults(target, kind)
  if (operation === 'DELETE tally') target.resetTally()
  else if (operation === 'POST leaving') target.markLeaving()
  else return NOT_FOUND
  return OK
}

function sendResponse (response: ServerResponse, { status, body }: ControlResponse): void {
  response.writeHead(status, { 'content-type': 'application/json' }).end(JSON.stringify(body))
}

/**
 * Starts targets in this process and a control listener for them, with these operations:
 *
 * | request | effect |
 * |---|---|
 * | `GET /targets` | lists the targets with their ports and faults |
 * | `GET /targets/<id>/tally` | returns the counters of the target |
 * | `DELETE /targets/<id>/tally` | resets the counters |
 * | `PUT /targets/<id>/faults` | injects a fault, for example `{"kind": "straggler", "factor": 10}` |
 * | `DELETE /targets/<id>/faults[/<kind>]` | clears one fault or all faults |
 * | `POST /targets/<id>/leaving` | sets the leaving mark, after which arriving work is counted separately |
 */
export async function createTargets (spec: TargetsSpec, host?: TargetHost): Promise<Targets> {
  const targets = await Promise.all(spec.targets.map(target => createTargetStandIn(target, host)))
  const server = createServer((request, response) => {
    handleControl(targets, request).then(reply => sendResponse(response, reply), () => response.destroy())
  })
  const { address } = spec.control
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(spec.control.port, address, resolve)
  })
  return {
    targets,
    control: { address, port: (server.address() as AddressInfo).port },
    close: async () => {
      server.closeAllConnections()
      await new Promise<void>(resolve => { server.close(() => resolve()) })
      await Promise.all(targets.map(target => target.close()))
    }
  }
}
