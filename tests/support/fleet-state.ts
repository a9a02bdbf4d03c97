/** Reads the state of the VMs of a running fleet, and waits for conditions on it. */
import { setTimeout as sleep } from 'node:timers/promises'
import * as assert from 'uvu/assert'
import type { VM } from '../../src/model/index.js'
import type { RunningFleet } from '../../trial/fleet.js'

const SAMPLE_MS = 100

/** Excerpt of the state response of a VM. */
export interface VMState {
  /** `yes`, or the reason why the VM refuses requests. */
  readonly serving: string
  readonly configuration: { readonly revision: number, readonly majorityContact: boolean }
  readonly members: ReadonlyArray<{ readonly vm: string, readonly state: string }>
}

/** Excerpt of a VM's view of a service. */
export interface ServiceDecisions {
  readonly leads: boolean
  readonly coordinator?: string
  readonly allocation?: object
}

/** Reads the state of one VM. */
export async function readState (fleet: RunningFleet, vm: VM): Promise<VMState> {
  return (await fleet.operators(vm, 'GET', '/v1/state'))._unsafeUnwrap() as VMState
}

/** Reads the states of the given VMs, by default of all, in the order of the list. */
export async function readStates (fleet: RunningFleet, vms: readonly VM[] = fleet.layout.vms): Promise<readonly VMState[]> {
  return await Promise.all(vms.map(async vm => await readState(fleet, vm)))
}

/** Reads the view that each VM has of a service; undefined for VMs that do not serve it. */
export async function readDecisions (fleet: RunningFleet, service: string): Promise<ReadonlyArray<ServiceDecisions | undefined>> {
  return await Promise.all(fleet.layout.vms.map(async vm => {
    const response = await fleet.operators(vm, 'GET', `/v1/explain/service/${service}`)
    return response.isErr() ? undefined : (response.value as { readonly decisions?: ServiceDecisions }).decisions
  }))
}

/** Polls until the condition is true; fails after the time limit. */
export async function waitUntil (what: string, limitMs: number, condition: () => Promise<boolean>): Promise<void> {
  const startedAt = performance.now()
  while (!await condition()) {
    assert.ok(performance.now() - startedAt < limitMs, `${what}: not within ${limitMs} ms`)
    await sleep(SAMPLE_MS)
  }
}

/** Whether the VM serves and every member in its view is live. */
export function isFullyLive ({ serving, members }: VMState): boolean {
  return serving === 'yes' && members.every(({ state }) => state === 'live')
}
