/** What VMs tell each other about themselves. */
import type { Channel } from '../model/index.js'
import { integer, nullable, tuple, type Checked } from '../peer/index.js'

/** What a VM is doing: it has no configuration yet, it serves, or it is about to stop. */
export type Phase = 'starting' | 'ready' | 'leaving'

const PHASES: readonly Phase[] = ['starting', 'ready', 'leaving']

/** A VM's word about itself. */
export interface Status {
  readonly phase: Phase
  /** Time since the store confirmed what the VM knows, directly, in ms; undefined without contact to the store. */
  readonly storeAgeMs: number | undefined
  /** The store's versions up to which the VM knows the sections of the catalog. */
  readonly rulesetsUpTo: number
  readonly listingsUpTo: number
  /** How long the VM has been ready, in ms. */
  readonly readyMs: number
}

const checkStatus = tuple(integer(0, PHASES.length - 1), nullable(integer()), integer(), integer(), integer())

/** A status as positions: phase, age of the contact to the store, versions of rulesets and listings, time of being ready. */
export type PackedStatus = Checked<typeof checkStatus>

/** In each heartbeat, and as a message when it changes. */
export const statusChannel: Channel<PackedStatus> = { kind: 'status', parse: checkStatus }

/** Packs a status for a message. */
export function packStatus (status: Status): PackedStatus {
  return [
    PHASES.indexOf(status.phase),
    status.storeAgeMs === undefined ? null : Math.round(status.storeAgeMs),
    status.rulesetsUpTo,
    status.listingsUpTo,
    Math.round(status.readyMs)
  ]
}

/** Reverses `packStatus`. */
export function unpackStatus ([phase, storeAgeMs, rulesetsUpTo, listingsUpTo, readyMs]: PackedStatus): Status {
  return { phase: PHASES[phase] ?? 'starting', storeAgeMs: storeAgeMs ?? undefined, rulesetsUpTo, listingsUpTo, readyMs }
}
