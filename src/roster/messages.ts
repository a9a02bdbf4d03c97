/** Messages between VMs about themselves and others. */
import type { Channel, VM } from '../model/index.js'
import { checkVM, integer, list, nullable, packVM, tuple, unpackVM, type Checked } from '../peer/index.js'

const MILLICORES_PER_CORE = 1000
/** Number of VMs in one message; a frame holds more. */
export const MAX_LISTED_VMS = 500

const checkListedVM = tuple(checkVM, nullable(integer()))

/** A VM and its capacity in thousandths of a core, if it is known. */
export type PackedListedVM = Checked<typeof checkListedVM>

/** VMs on the list in the store that the receiver may not know. */
export const listedVMsChannel: Channel<readonly PackedListedVM[]> = { kind: 'vms', parse: list(checkListedVM, MAX_LISTED_VMS) }

/** Encodes a VM as a tuple. */
export function packListedVM (vm: VM): PackedListedVM {
  return [packVM(vm), vm.cores === undefined ? null : Math.round(vm.cores * MILLICORES_PER_CORE)]
}

/** Decodes the result of `packListedVM`. */
export function unpackListedVM ([packed, millicores]: PackedListedVM): VM {
  const vm = unpackVM(packed)
  return millicores === null ? vm : { ...vm, cores: millicores / MILLICORES_PER_CORE }
}

/** Lifecycle phase of a VM: it has no configuration yet, it serves, or it is about to stop. */
export type LifecyclePhase = 'starting' | 'ready' | 'leaving'

const PHASES: readonly LifecyclePhase[] = ['starting', 'ready', 'leaving']

/** Status that a VM reports about itself. */
export interface Status {
  readonly phase: LifecyclePhase
  /** Time since the VM had direct contact with the store, in ms; undefined if it had none. */
  readonly storeAgeMs: number | undefined
  /** Versions of the store up to which the VM has each section of the catalog. */
  readonly rulesetsUpTo: number
  readonly listingsUpTo: number
  /** Time for which the VM has been ready, in ms. */
  readonly readyMs: number
  /** Processor capacity of the VM, in cores. */
  readonly cores: number
  /** Part of the capacity that is in use for other work than messages between VMs, in cores. */
  readonly usedCores: number
}

const checkStatus = tuple(integer(0, PHASES.length - 1), nullable(integer()), integer(), integer(), integer(), integer(), integer())

/** A status as a tuple: index of the phase, `storeAgeMs`, `rulesetsUpTo`, `listingsUpTo`, `readyMs`, `cores` and `usedCores`. Cores are sent in thousandths. */
export type PackedStatus = Checked<typeof checkStatus>

/** Sent in each heartbeat, and as a message when the status changes. */
export const statusChannel: Channel<PackedStatus> = { kind: 'status', parse: checkStatus }

/** Encodes a status as a tuple. */
export function packStatus (status: Status): PackedStatus {
  return [
    PHASES.indexOf(status.phase),
    status.storeAgeMs === undefined ? null : Math.round(status.storeAgeMs),
    status.rulesetsUpTo,
    status.listingsUpTo,
    Math.round(status.readyMs),
    Math.round(status.cores * MILLICORES_PER_CORE),
    Math.round(status.usedCores * MILLICORES_PER_CORE)
  ]
}

/** Decodes the result of `packStatus`. */
export function unpackStatus ([phase, storeAgeMs, rulesetsUpTo, listingsUpTo, readyMs, millicores, usedMillicores]: PackedStatus): Status {
  return {
    phase: PHASES[phase] ?? 'starting',
    storeAgeMs: storeAgeMs ?? undefined,
    rulesetsUpTo,
    listingsUpTo,
    readyMs,
    cores: millicores / MILLICORES_PER_CORE,
    usedCores: usedMillicores / MILLICORES_PER_CORE
  }
}
