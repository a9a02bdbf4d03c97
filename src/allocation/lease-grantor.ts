/** Grantor side of the coordinator lease. A VM that granted the lease grants it to no other VM until the grant expires. */
import type { Peer } from '../model/index.js'
import { LEASE_MS } from './durations.js'
import type { LeaseRequest } from './messages.js'

/** Response to a lease request. */
export interface LeaseDecision {
  readonly granted: boolean
  /** Highest epoch that this VM knows. */
  readonly epoch: number
  /** Time for which grants to earlier holders would still be valid if they had not been released, in ms. */
  readonly heldForMs: number
}

/** Grants of the lease of one service by this VM. */
export interface LeaseGrantor {
  /** Grants, renews or refuses the lease. */
  readonly decide: (from: Peer, request: LeaseRequest, now: number) => LeaseDecision
  /** Ends the grant if it belongs to this VM and to this or an earlier round. */
  readonly release: (from: Peer, round: number, now: number) => void
  /** The VM whose grant is valid. */
  readonly currentHolder: (now: number) => Peer | undefined
  /** Earliest time of a grant to another VM: when the latest grant has expired and this VM no longer abstains. */
  readonly grantableAt: () => number
  /** Highest epoch that this VM knows. */
  readonly epoch: () => number
  /** Records an epoch, and the VM that it was received from. */
  readonly observeEpoch: (epoch: number, coordinator: Peer) => void
  /**
   * Refuses new grants for the duration of a lease. A VM that started, was paused or joined the
   * subset may not know of a grant that is still valid.
   */
  readonly abstain: (now: number) => void
}

/** Whether two peers are the same process. */
export function isSamePeer (a: Peer | undefined, b: Peer | undefined): boolean {
  return a !== undefined && b !== undefined && a.vm === b.vm && a.incarnation === b.incarnation
}

/**
 * Creates the grantor of a VM that has just started. It abstains for the duration of a lease.
 *
 * @example
 * const grantor = createLeaseGrantor(now)
 * grantor.decide(peer, request, now + 2_000).granted // true
 */
export function createLeaseGrantor (startedAt: number): LeaseGrantor {
  let holder: Peer | undefined
  let expiresAt = 0
  /** Expiry of the latest grant, regardless of its release. */
  let unreleasedExpiresAt = 0
  /** Latest such expiry of the grants to earlier holders. */
  let previousExpiresAt = 0
  let grantedRound = 0
  let abstainsUntil = startedAt + LEASE_MS
  let knownEpoch = 0
  let epochCoordinator: Peer | undefined

  const currentHolder = (now: number): Peer | undefined => now < expiresAt ? holder : undefined
  const observeEpoch = (epoch: number, coordinator: Peer): void => {
    if (epoch <= knownEpoch) return
    knownEpoch = epoch
    epochCoordinator = coordinator
  }
  const isGrantable = (from: Peer, request: LeaseRequest, now: number): boolean => {
    const current = currentHolder(now)
    const isRenewal = isSamePeer(current, from)
    if (!isRenewal && (current !== undefined || now < abstainsUntil)) return false
    return request.epoch > knownEpoch || (request.epoch === knownEpoch && isSamePeer(epochCoordinator, from))
  }
  return {
    decide: (from, request, now) => {
      if (!isGrantable(from, request, now)) return { granted: false, epoch: knownEpoch, heldForMs: 0 }
      if (!isSamePeer(currentHolder(now), from)) previousExpiresAt = Math.max(previousExpiresAt, unreleasedExpiresAt)
      holder = from
      expiresAt = now + LEASE_MS
      unreleasedExpiresAt = expiresAt
      grantedRound = request.round
      observeEpoch(request.epoch, from)
      return { granted: true, epoch: knownEpoch, heldForMs: Math.max(0, previousExpiresAt - now) }
    },
    release: (from, round, now) => {
      if (isSamePeer(holder, from) && round >= grantedRound) expiresAt = Math.min(expiresAt, now)
    },
    currentHolder,
    grantableAt: () => Math.max(expiresAt, abstainsUntil),
    epoch: () => knownEpoch,
    observeEpoch,
    abstain: now => { abstainsUntil = now + LEASE_MS }
  }
}
