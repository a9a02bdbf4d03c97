import { err, ok, type Result } from 'neverthrow'
import { refusal, type Refusal } from '../errors/index.js'
import type { Member, Place, VM } from '../model/index.js'
import { rendezvousScore } from './rendezvous.js'

/** Path of address responses on the callers' listener. */
export const ADDRESSES_PATH = '/.camphorbay/addresses'

/** Time for which a caller may cache an address response. A VM that stops continues to serve for at least this long. */
export const KEEP_ADDRESSES_MS = 5000

/** Query of a caller for the addresses of a service. */
export interface AddressQuery {
  readonly service: string
  /** Zone of the caller, if known. */
  readonly zone: Place | undefined
}

/** Addresses to which a caller sends the requests of a service, as sent to callers under these names. */
export interface AddressResponse {
  readonly service: string
  readonly addresses: ReadonlyArray<{
    readonly vm: string
    readonly address: string
    readonly port: number
    /** Zone of the VM. */
    readonly place: Place
  }>
  /** Time for which the caller may cache the response. */
  readonly keepForMs: number
}

/**
 * Returns the addresses of the VMs that serve a service, those in the caller's zone first. Within a zone the order
 * depends on the caller's address, so callers that use the first entry are distributed evenly.
 *
 * @param subset VMs that serve the service; empty if it does not exist
 * @param members all VMs, with their states
 * @returns the refusal `service-unknown` if no VM serves a service of this name
 *
 * @example
 * listAddresses({ service: 'holds', zone: 'riga-a' }, subsets.of('holds'), members, '10.0.0.1')
 */
export function listAddresses (
  query: AddressQuery, subset: readonly VM[], members: readonly Member[], callerAddress: string
): Result<AddressResponse, Refusal> {
  if (subset.length === 0) return err(refusal('service-unknown', JSON.stringify(query.service)))
  // Only the few VMs of the subset are indexed: an index of all members would take longer than the rest of the response.
  const names = new Set(subset.map(vm => vm.name))
  const liveNames = new Set(members.filter(({ vm, state }) => state === 'live' && names.has(vm.name)).map(({ vm }) => vm.name))
  const live = subset.filter(vm => liveNames.has(vm.name))
  // If every VM of the subset is suspect, addresses of suspect VMs are better than none.
  const selected = live.length > 0 ? live : subset
  const ordered = selected
    .map(vm => ({ vm, proximity: vm.place === query.zone ? 1 : 0, score: rendezvousScore(callerAddress, vm.name) }))
    .sort((a, b) => b.proximity - a.proximity || b.score - a.score)
    .map(({ vm }) => ({ vm: vm.name, address: vm.callers.address, port: vm.callers.port, place: vm.place }))
  return ok({ service: query.service, addresses: ordered, keepForMs: KEEP_ADDRESSES_MS })
}
