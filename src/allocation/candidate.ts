/** Holder side of the coordinator lease: collects the grants of a strict majority of the subset. */
import { CLOCK_DRIFT_MARGIN_MS, LEASE_MS, RENEWAL_INTERVAL_MS } from './durations.js'
import type { LeaseGrant } from './messages.js'

/** Time after which a candidate without a majority withdraws, in ms. */
const ELECTION_TIMEOUT_MS = 500
/** Delay before a candidate that withdrew requests the lease again, in ms. Longer than the rank delays, so that another candidate can be elected. */
const RETRY_DELAY_MS = 1_000
/** Additional delay of a candidate for each member of better rank that it has contact with, in ms. It makes simultaneous candidates rare. */
export const RANK_DELAY_MS = 250

/** Dependencies of a candidate. */
export interface CandidateContext {
  /** Members in order of rank, this VM included. */
  readonly members: () => readonly string[]
  /** Number of members of better rank that this VM has contact with. */
  readonly betterRankedContacts: (now: number) => number
  /** Highest epoch that this VM knows. */
  readonly knownEpoch: () => number
  /** Earliest time at which this VM itself may grant the lease. */
  readonly grantableAt: () => number
  /** Sends a request, a renewal or a release to all members, this VM included. */
  readonly broadcastRequest: (round: number, epoch: number, release: boolean, now: number) => void
}

/** Acquires and renews the lease of one service. */
export interface Candidate {
  readonly tick: (now: number) => void
  readonly handleGrant: (vm: string, grant: LeaseGrant, now: number) => void
  /** Whether a strict majority grants this VM the lease. */
  readonly holdsLease: (now: number) => boolean
  /** Whether the VM has granted the lease that this VM holds or requests. */
  readonly isGrantor: (vm: string) => boolean
  /** When the lease expires unless further grants arrive. */
  readonly leaseExpiresAt: () => number
  /** When the leases of earlier coordinators expire, regardless of their release. */
  readonly previousLeaseExpiresAt: () => number
  readonly epoch: () => number
  /** When this VM first requested the lease that it holds. */
  readonly requestedAt: () => number
  /** Moves to an epoch above `above`, which a member knows from another coordinator. */
  readonly raiseEpoch: (above: number) => void
  /** Releases the lease, and requests none before `notBefore`. */
  readonly resign: (notBefore: number, now: number) => void
}

/** Size of a strict majority. Two candidates cannot both have as many grants at one time. */
export function majoritySize (members: readonly string[]): number {
  return Math.floor(members.length / 2) + 1
}

/**
 * Creates a candidate that requests the lease when no other VM holds it.
 *
 * The lifetime of a grant starts when its request was sent. It therefore expires here before it
 * expires at the grantor.
 */
export function createCandidate (context: CandidateContext): Candidate {
  let state: 'idle' | 'asking' | 'leading' = 'idle'
  let epoch = 0
  let round = 0
  /** First round whose grants count. Those of earlier rounds were released. */
  let firstValidRound = 0
  let requestedAt = 0
  let lastRequestAt = 0
  let notBefore = 0
  let previousLeaseExpiresAt = 0
  const sentAt = new Map<number, number>()
  const grantExpiries = new Map<string, number>()

  /** Expiry of the lease: until then, the grants of a majority are valid. */
  const leaseExpiresAt = (): number => {
    const members = context.members()
    const expiries = members.map(vm => grantExpiries.get(vm) ?? 0).toSorted((a, b) => b - a)
    return expiries[majoritySize(members) - 1] ?? 0
  }
  const hasMajority = (now: number): boolean => leaseExpiresAt() > now
  const sendRequest = (now: number): void => {
    round += 1
    lastRequestAt = now
    sentAt.set(round, now)
    for (const [old, at] of sentAt) if (now - at > LEASE_MS) sentAt.delete(old)
    context.broadcastRequest(round, epoch, false, now)
  }
  const resign = (earliestRetryAt: number, now: number): void => {
    if (state !== 'idle') context.broadcastRequest(round, epoch, true, now)
    previousLeaseExpiresAt = Math.max(previousLeaseExpiresAt, leaseExpiresAt())
    state = 'idle'
    grantExpiries.clear()
    sentAt.clear()
    firstValidRound = round + 1
    notBefore = earliestRetryAt
  }
  const retryAt = (now: number): number => now + RETRY_DELAY_MS + context.betterRankedContacts(now) * RANK_DELAY_MS
  const requestIfDue = (now: number): void => {
    if (now < notBefore || now < context.grantableAt() + context.betterRankedContacts(now) * RANK_DELAY_MS) return
    state = 'asking'
    requestedAt = now
    epoch = Math.max(epoch, context.knownEpoch()) + 1
    sendRequest(now)
  }
  const raiseEpoch = (above: number): void => {
    if (state === 'idle' || above < epoch) return
    epoch = above + 1
    lastRequestAt = -Infinity
  }
  return {
    tick: now => {
      if (state === 'idle') requestIfDue(now)
      if (state === 'asking' && hasMajority(now)) state = 'leading'
      if (state === 'asking' && now - requestedAt >= ELECTION_TIMEOUT_MS) resign(retryAt(now), now)
      if (state === 'leading' && !hasMajority(now)) resign(retryAt(now), now)
      if (state !== 'idle' && now - lastRequestAt >= RENEWAL_INTERVAL_MS) sendRequest(now)
    },
    handleGrant: (vm, grant, now) => {
      const sent = sentAt.get(grant.round)
      if (sent === undefined || grant.round < firstValidRound) return
      // The grantor may know a later epoch, for example from a candidate without a majority.
      if (!grant.granted) return raiseEpoch(grant.epoch)
      previousLeaseExpiresAt = Math.max(previousLeaseExpiresAt, now + grant.heldForMs)
      grantExpiries.set(vm, Math.max(grantExpiries.get(vm) ?? 0, sent + LEASE_MS - CLOCK_DRIFT_MARGIN_MS))
    },
    holdsLease: now => state === 'leading' && hasMajority(now),
    isGrantor: vm => grantExpiries.has(vm),
    leaseExpiresAt,
    previousLeaseExpiresAt: () => previousLeaseExpiresAt,
    epoch: () => epoch,
    requestedAt: () => requestedAt,
    raiseEpoch,
    resign
  }
}
