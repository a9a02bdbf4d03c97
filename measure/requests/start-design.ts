/** Starts the product as a system under test: daemons in this process, with a platform stand-in. */
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
import { PATH, PLACE_ORDER, PROXY_COUNT, READ, SERVICE, zoneOf, type ServiceSpec, type SystemUnderTest, type StartSystem } from './system-under-test.js'

const CALLERS_PORT = 8080
const PEERS_PORT = 8180
const OPERATORS_PORT = 8280
const FIRST_NETWORK = 192
const NETWORKS = 48
const OPERATOR_TOKEN = 'measure-operator-token-0123456789abcdef'
const PEER_KEY = 'measure-peer-key-0123456789abcdef0123456789'
const TARGET_CONNECTIONS = 400
const ALLOCATION_POLL_MS = 50
const ALLOCATION_TIMEOUT_MS = 20_000
/** No callers remain when a scenario ends, so addresses need not be kept. */
const KEEP_ADDRESSES_MS = 0

const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} }

let startedFleets = 0

/** Returns a loopback address that no other process and no other fleet of this process listens on. */
function allocateAddress (): string {
  const { pid } = process
  return `127.${FIRST_NETWORK + startedFleets++ % NETWORKS}.${(pid >> 8) & 0xff}.${pid & 0xff}`
}

function createVMs (address: string): readonly VM[] {
  return Array.from({ length: PROXY_COUNT }, (_, i): VM => ({
    name: `entry-${i + 1}`,
    place: zoneOf(i),
    callers: { address, port: CALLERS_PORT + i },
    peers: { address, port: PEERS_PORT + i }
  }))
}

function createSettings (vm: VM, index: number, vms: readonly VM[], { address, port }: PlatformStandIn): Settings {
  const settingsDocument = {
    vm,
    operators: { address: vm.callers.address, port: OPERATORS_PORT + index },
    operatorToken: OPERATOR_TOKEN,
    peerKey: PEER_KEY,
    platform: { address, port },
    seeds: vms.filter(({ name }) => name !== vm.name)
  }
  return parseSettings(JSON.stringify(settingsDocument)).match(
    settings => settings,
    mistakes => { throw new Error(`invalid settings: ${JSON.stringify(mistakes)}`) }
  )
}

function createServiceNote (service: ServiceSpec, targets: readonly TargetStandIn[]): object {
  const { floor, preference, deadlineMs } = service
  const noteTargets = targets.map(({ spec, port }) =>
    ({ id: spec.id, address: spec.address, port, place: spec.place, slots: spec.slots, connections: TARGET_CONNECTIONS }))
  const classes = [
    { name: READ, idempotent: true, deadlineMs, priority: 0 },
    { name: PLACE_ORDER, idempotent: false, deadlineMs, priority: 1 }
  ]
  return {
    id: 'first-service',
    base: 0,
    added: {
      services: [{ name: SERVICE, floor, preference, classes, targets: noteTargets }],
      routes: [
        { id: READ, service: SERVICE, class: READ, pathPrefix: PATH, methods: ['GET', 'HEAD'] },
        { id: PLACE_ORDER, service: SERVICE, class: PLACE_ORDER, pathPrefix: PATH, methods: ['POST'] }
      ]
    }
  }
}

/** Resolves to true if a VM has a coordinator and an allocation. */
async function hasAllocation (fleet: OperatedFleet, vm: VM): Promise<boolean> {
  const response = await fleet.operators(vm, 'GET', `/v1/explain/service/${SERVICE}`)
  if (response.isErr()) return false
  const { decisions } = response.value as { decisions?: { coordinator?: string, allocation?: unknown } }
  return decisions?.coordinator !== undefined && decisions.allocation !== undefined
}

/** Waits until every VM has an allocation. A VM grants no lease in its first 2 s, so slots are allocated only after that. */
async function waitForAllocations (fleet: OperatedFleet): Promise<void> {
  const startedAt = performance.now()
  for (;;) {
    const allocated = await Promise.all(fleet.layout.vms.map(vm => hasAllocation(fleet, vm)))
    if (allocated.every(Boolean)) return
    if (performance.now() - startedAt > ALLOCATION_TIMEOUT_MS) throw new Error(`not every VM received an allocation within ${ALLOCATION_TIMEOUT_MS} ms`)
    await sleep(ALLOCATION_POLL_MS)
  }
}

/** Starts a fleet of three VMs with its own platform stand-in. */
export const startDesign: StartSystem = async (service, targets): Promise<SystemUnderTest> => {
  const platform = await createPlatformStandIn()
  const vms = createVMs(allocateAddress())
  platform.setVMs(vms.map(vm => ({ vm, state: 'live' })))
  const daemons: readonly Daemon[] = await Promise.all(vms.map((vm, index) => Effect.runPromise(startDaemon({
    settings: createSettings(vm, index, vms, platform), log: silentLog, keepAddressesMs: KEEP_ADDRESSES_MS
  }))))
  const fleet: OperatedFleet = {
    layout: { vms },
    operators: (vm, method, path, body) => callOperatorAPI(
      { url: `http://${vm.callers.address}:${OPERATORS_PORT + vms.indexOf(vm)}`, token: OPERATOR_TOKEN },
      method, path, body === undefined ? undefined : JSON.stringify(body))
  }
  await submitNote(fleet, createServiceNote(service, targets))
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
