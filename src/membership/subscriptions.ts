/**
 * Selects the peers that report the liveness of each VM to this VM.
 *
 * Every peer knows how long ago each VM was last alive, and one or two of them
 * learn it first. In a large fleet, a subscription is therefore wide, with reports
 * from all peers, only until the VM has been in contact for a while, and then
 * narrow, with reports from the two peers whose ages were lowest. It becomes wide
 * again if the age of the VM grows nevertheless, or if a link to one of the two
 * closes. While a VM is not in contact, its subscription stays wide, so that its
 * return is detected on any path.
 *
 * During startup, and after the loss of a large part of the fleet, so many
 * subscriptions are wide that the peers together would report more than a VM can
 * read. Each of them then uses a sample of eight peers, and another sample after
 * each second without contact.
 */
import type { MemberTable } from './member-table.js'
import { hashText } from './rank.js'

/**
 * Age above which the subscription to a VM becomes wide. The request and the response take one
 * heartbeat each, which leaves 0.5 s of the contact timeout of 3 s.
 */
const STALE_CONTACT_MS = 1500

/** Time of contact before two peers are selected: four heartbeats of each peer. */
const SELECTION_DELAY_MS = 2000

/** With more wide subscriptions than this, each of them uses only a sample of the peers. */
const MAX_UNSAMPLED_SUBSCRIPTIONS = 256

/** Average number of peers in a sample. */
const SAMPLED_PEERS = 8

/** Interval at which a wide subscription changes its sample. */
const SAMPLE_INTERVAL_MS = 1000

/**
 * Maximum pseudo-random offset of the ages by which peers are compared, constant for a peer and a VM. It
 * distributes the VMs over peers with similar ages; otherwise a peer with many links would report most VMs.
 */
const AGE_OFFSET_MAX_MS = 100

/** Multiplier that mixes the hashes of peer and VM: 2^32 divided by the golden ratio. */
const HASH_MULTIPLIER = 0x9e3779b1
/** Number of 32-bit values. */
const UINT32_COUNT = 2 ** 32

/** Weight of the previous average in the moving average of a peer's ages. */
const PREVIOUS_WEIGHT = 0.5

/** A peer and the average age of its reports of a VM on arrival, including the offset, in ms. */
interface Source {
  readonly peer: string
  ageMs: number
}

/** An incarnation of a VM in the rosters. All links share one object for it, because each VM is an entry on every link. */
export interface RosterMember {
  readonly name: string
  readonly incarnation: string | undefined
  readonly subscription: Subscription
}

/** Subscription of this VM to the liveness of another one. */
export interface Subscription {
  readonly name: string
  readonly hash: number
  /** Incarnation whose liveness is wanted. */
  incarnation: string | undefined
  /** Whether all peers, or a sample of them, report the VM, instead of the best two. */
  isWide: boolean
  wideSince: number
  /** Number of the current sample of peers, and when it was chosen. */
  sample: number
  sampledAt: number
  best: Source | undefined
  second: Source | undefined
  member: RosterMember | undefined
}

/** Subscriptions to all VMs. */
export interface Subscriptions {
  readonly member: (name: string, incarnation: string | undefined) => RosterMember
  /** Records the age in a peer's report on its arrival, in ms; Infinity if the peer has no recent contact with the VM. */
  readonly recordAge: (subscription: Subscription, peer: string, ageMs: number) => void
  /** Removes a peer whose link closed. */
  readonly removePeer: (peer: string) => void
  /** Widens and narrows subscriptions, given the number of peers that report VMs. */
  readonly update: (now: number, peerCount: number) => void
  /** Whether the peer should report the VM of the subscription. */
  readonly isWanted: (subscription: Subscription, peer: string) => boolean
  /** Whether the fleet is large enough for a selection of peers. */
  readonly isSelecting: () => boolean
  /** Increases when subscriptions are widened. */
  readonly widenCount: () => number
  /** Increases when subscriptions are narrowed. */
  readonly narrowCount: () => number
}

/** Keeps the two peers with the lowest ages. Ages of different peers are compared after one or more reports of each. */
function updateSources (subscription: Subscription, peer: string, ageMs: number): void {
  const { best, second } = subscription
  if (best?.peer === peer || second?.peer === peer) {
    const source = best?.peer === peer ? best : second
    if (source !== undefined) source.ageMs = PREVIOUS_WEIGHT * source.ageMs + (1 - PREVIOUS_WEIGHT) * ageMs
  } else if (second === undefined || ageMs < second.ageMs) subscription.second = { peer, ageMs }
  if (subscription.second !== undefined && subscription.second.ageMs < (subscription.best?.ageMs ?? Infinity)) {
    const { best: former, second: better } = subscription
    subscription.best = better
    subscription.second = former
  }
}

/** Returns a pseudo-random number from 0 to below 1 that is the same for the same arguments. */
function hashFraction (hash: number, peer: string): number {
  return (Math.imul(hash ^ hashText(peer), HASH_MULTIPLIER) >>> 0) / UINT32_COUNT
}

function removeSource (subscription: Subscription, peer: string): boolean {
  if (subscription.second?.peer === peer) subscription.second = undefined
  else if (subscription.best?.peer === peer) {
    subscription.best = subscription.second
    subscription.second = undefined
  } else return false
  return true
}

/**
 * Creates the subscriptions.
 *
 * @param fullContactsUpTo up to this number of other VMs, all subscriptions stay wide
 */
export function createSubscriptions (table: MemberTable, fullContactsUpTo: number): Subscriptions {
  const subscriptions = new Map<string, Subscription>()
  let widenCount = 0
  let narrowCount = 0
  let isLarge = false
  /** Share of the peers that a wide subscription uses. */
  let sampleShare = 1

  const widen = (subscription: Subscription, now: number): void => {
    subscription.wideSince = now
    if (subscription.isWide) return
    subscription.isWide = true
    subscription.best = undefined
    subscription.second = undefined
    widenCount++
  }
  const updateOne = (subscription: Subscription, now: number): void => {
    const entry = table.get(subscription.name)
    subscription.incarnation = entry?.incarnation
    if (!isLarge || entry === undefined || now - entry.lastAliveAt > STALE_CONTACT_MS) {
      if (sampleShare < 1 && now - subscription.sampledAt >= SAMPLE_INTERVAL_MS) {
        subscription.sample++
        subscription.sampledAt = now
        widenCount++
      }
      return widen(subscription, now)
    }
    if (!subscription.isWide || now - subscription.wideSince < SELECTION_DELAY_MS || subscription.second === undefined) return
    subscription.isWide = false
    narrowCount++
  }

  const subscriptionOf = (name: string): Subscription => {
    const known = subscriptions.get(name)
    if (known !== undefined) return known
    const subscription: Subscription = {
      name,
      hash: hashText(name),
      incarnation: undefined,
      isWide: true,
      wideSince: Infinity,
      sample: 0,
      sampledAt: -Infinity,
      best: undefined,
      second: undefined,
      member: undefined
    }
    subscriptions.set(name, subscription)
    return subscription
  }

  return {
    member: (name, incarnation) => {
      const subscription = subscriptionOf(name)
      const { member } = subscription
      if (member !== undefined && member.incarnation === incarnation) return member
      const created: RosterMember = { name, incarnation, subscription }
      subscription.member = created
      return created
    },
    recordAge: (subscription, peer, ageMs) => {
      if (!subscription.isWide) return
      if (ageMs === Infinity) removeSource(subscription, peer)
      else updateSources(subscription, peer, ageMs + AGE_OFFSET_MAX_MS * hashFraction(subscription.hash, peer))
    },
    removePeer: peer => {
      for (const subscription of subscriptions.values()) {
        if (!removeSource(subscription, peer) || subscription.isWide) continue
        // The next update sets `wideSince`, when the age of the VM is known.
        subscription.isWide = true
        subscription.wideSince = Infinity
        widenCount++
      }
    },
    update: (now, peerCount) => {
      isLarge = table.count() > fullContactsUpTo
      let wideCount = 0
      for (const { isWide } of subscriptions.values()) if (isWide) wideCount++
      const share = isLarge && wideCount > MAX_UNSAMPLED_SUBSCRIPTIONS ? Math.min(1, SAMPLED_PEERS / peerCount) : 1
      if (share !== sampleShare) widenCount++
      sampleShare = share
      for (const subscription of subscriptions.values()) {
        if (subscription.wideSince === Infinity) subscription.wideSince = now
        updateOne(subscription, now)
        if (table.get(subscription.name) === undefined) subscriptions.delete(subscription.name)
      }
    },
    isWanted: (subscription, peer) => subscription.isWide
      ? sampleShare === 1 || hashFraction(subscription.hash + subscription.sample, peer) < sampleShare
      : subscription.best?.peer === peer || subscription.second?.peer === peer,
    isSelecting: () => isLarge,
    widenCount: () => widenCount,
    narrowCount: () => narrowCount
  }
}
