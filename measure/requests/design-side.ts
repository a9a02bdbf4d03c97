/** This product as one side of a scenario: daemons in this process with a platform stand-in. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Effect } from 'effect'
import { callOperatorAPI } from '../../src/cli/operator-client.js'
import { startDaemon, type Daemon } from '../../src/daemon/index.js'
import type { Log } from '../../src/log/index.js'
import type { VM } from '../../src/model/index.js'
import { parseSettings, type Settings } from '../../src/settings/index.js'
import { createPlatformStandIn, type PlatformStandIn } from '../../stand-ins/platform/index.js'
import type { TargetStandIn } from '../../stand-ins/target/index.js'
import { submitNote, type OperatedFleet } from '../../trial/submit.js'
import { PATH, PLACE_ORDER, PROXIES, READ, SERVICE, placeOf, type ServicePlan, type Side, type StartSide } from './side.js'

const CALLERS_PORT = 8080
const PEERS_PORT = 8180
const OPERATORS_PORT = 8280
const FIRST_NETWORK = 192
const NETWORKS = 48
const OPERATOR_TOKEN = 'measure-operator-token-0123456789abcdef'
const PEER_KEY = 'measure-peer-key-0123456789abcdef0123456789'
const CONNECTIONS = 400
const READY_POLL_MS = 50
const READY_LIMIT_MS = 20_000
/** Callers of a scenario are gone when it ends, so addresses need not be kept. */
const KEEP_ADDRESSES_MS = 0

const silent: Log = { info: () => {}, warn: () => {}, error: () => {} }

let fleets = 0

/** An address that no other process and no other fleet of this process listens on. */
function takeAddress (): string {
  const { pid } = process
  return `127.${FIRST_NETWORK + fleets++ % NETWORKS}.${(pid >> 8) & 0xff}.${pid & 0xff}`
}

function planVMs (address: string): readonly VM[] {
  return Array.from({ length: PROXIES }, (_, i): VM => ({
    name: `entry-${i + 1}`,
    place: placeOf(i),
    callers: { address, port: CALLERS_PORT + i },
    peers: { address, port: PEERS_PORT + i }
  }))
}

function settingsOf (vm: VM, index: number, vms: readonly VM[], { address, port }: PlatformStandIn): Settings {
  const document = {
    vm,
    operators: { address: vm.callers.address, port: OPERATORS_PORT + index },
    operatorToken: OPERATOR_TOKEN,
    peerKey: PEER_KEY,
    platform: { address, port },
    seeds: vms.filter(({ name }) => name !== vm.name)
  }
  return parseSettings(JSON.stringify(document)).match(
    settings => settings,
    mistakes => { throw new Error(`settings: ${JSON.stringify(mistakes)}`) }
  )
}

function firstNote (plan: ServicePlan, targets: readonly TargetStandIn[]): object {
  const { floor, preference, deadlineMs } = plan
  const entries = targets.map(({ spec, port }) =>
    ({ id: spec.id, address: spec.address, port, place: spec.place, slots: spec.slots, connections: CONNECTIONS }))
  const classes = [
    { name: READ, idempotent: true, deadlineMs, priority: 0 },
    { name: PLACE_ORDER, idempotent: false, deadlineMs, priority: 1 }
  ]
  return {
    id: 'first-service',
    base: 0,
    added: {
      services: [{ name: SERVICE, floor, preference, classes, targets: entries }],
      routes: [
        { id: READ, service: SERVICE, class: READ, pathPrefix: PATH, methods: ['GET', 'HEAD'] },
        { id: PLACE_ORDER, service: SERVICE, class: PLACE_ORDER, pathPrefix: PATH, methods: ['POST'] }
      ]
    }
  }
}

/** Whether a VM follows a coordinator and holds an allocation. */
async function hasAllocation (fleet: OperatedFleet, vm: VM): Promise<boolean> {
  const answer = await fleet.operators(vm, 'GET', `/v1/explain/service/${SERVICE}`)
  if (answer.isErr()) return false
  const { decisions } = answer.value as { decisions?: { coordinator?: string, allocation?: unknown } }
  return decisions?.coordinator !== undefined && decisions.allocation !== undefined
}

/** A VM that just started grants no lease for 2 s, so the pool of slots is shared out only after that. */
async function waitForAllocations (fleet: OperatedFleet): Promise<void> {
  const startedAt = performance.now()
  for (;;) {
    const ready = await Promise.all(fleet.layout.vms.map(vm => hasAllocation(fleet, vm)))
    if (ready.every(Boolean)) return
    if (performance.now() - startedAt > READY_LIMIT_MS) throw new Error(`no allocation at every VM within ${READY_LIMIT_MS} ms`)
    await sleep(READY_POLL_MS)
  }
}

/** Starts three VMs with a platform of their own. */
export const startDesign: StartSide = async (plan, targets): Promise<Side> => {
  const platform = await createPlatformStandIn()
  const vms = planVMs(takeAddress())
  platform.setVMs(vms.map(vm => ({ vm, state: 'live' })))
  const daemons: readonly Daemon[] = await Promise.all(vms.map((vm, index) => Effect.runPromise(startDaemon({
    settings: settingsOf(vm, index, vms, platform), log: silent, keepAddressesMs: KEEP_ADDRESSES_MS
  }))))
  const fleet: OperatedFleet = {
    layout: { vms },
    operators: (vm, method, path, body) => callOperatorAPI(
      { url: `http://${vm.callers.address}:${OPERATORS_PORT + vms.indexOf(vm)}`, token: OPERATOR_TOKEN },
      method, path, body === undefined ? undefined : JSON.stringify(body))
  }
  await submitNote(fleet, firstNote(plan, targets))
  await waitForAllocations(fleet)
  return {
    contacts: vms.map(({ callers }) => callers),
    setPlatformFaults: platform.setFaults,
    close: async () => {
      platform.setFaults({})
      await Promise.all(daemons.map(daemon => Effect.runPromise(daemon.stop)))
      await platform.close()
    }
  }
}
