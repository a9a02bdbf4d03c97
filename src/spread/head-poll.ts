/** Decides when this VM reads the head row of the platform's table. */
import { rankVMs } from '../membership/index.js'
import type { Member } from '../model/index.js'

/** Time between reads of a VM whose turn it is. */
const POLL_MS = 500

/** Number of VMs that read the head regularly. Two, so that one may fail. */
const POLLERS = 2

/** Time between reads of an unconfirmed VM for each VM in contact: together they read 10 times a second. */
const UNCONFIRMED_POLL_MS_PER_VM = 100

/** Least time between reads of an unconfirmed VM. */
const UNCONFIRMED_POLL_MIN_MS = 500

/** Another read is started when one takes longer; its late result still counts. */
const READ_LIMIT_MS = 2000

const HEAD_KEY = 'config/head'

/** What a read depends on. */
export interface PollView {
  readonly members: readonly Member[]
  /** VMs in contact, this one included; what one of them reads confirms all of them. */
  readonly inContact: number
  /** Whether this VM can wait for what others read. */
  readonly isConfirmed: boolean
}

/** Times of the reads. */
export interface HeadPoll {
  /** Whether to start a read now. */
  readonly isDue: (view: PollView, now: number) => boolean
  readonly started: (now: number) => void
  readonly ended: () => void
}

/** Creates the schedule. The first read is due at once. */
export function createHeadPoll (self: string, random: () => number): HeadPoll {
  let startedAt = -Infinity
  let isReading = false
  /** When the next read of an unconfirmed VM is due; undefined while it is confirmed. */
  let unconfirmedDueAt: number | undefined = -Infinity

  const isPoller = (members: readonly Member[]): boolean =>
    rankVMs(HEAD_KEY, members.filter(({ state }) => state === 'live').map(({ vm }) => vm.name))
      .slice(0, POLLERS).includes(self)
  const delayMs = (vmCount: number): number =>
    Math.max(UNCONFIRMED_POLL_MIN_MS, vmCount * UNCONFIRMED_POLL_MS_PER_VM) * (0.5 + random())

  return {
    isDue: ({ members, inContact, isConfirmed }, now) => {
      if (isReading && now - startedAt < READ_LIMIT_MS) return false
      if (isConfirmed) unconfirmedDueAt = undefined
      else unconfirmedDueAt ??= now + random() * delayMs(inContact)
      if (unconfirmedDueAt !== undefined && now >= unconfirmedDueAt) {
        unconfirmedDueAt = now + delayMs(inContact)
        return true
      }
      return now - startedAt >= POLL_MS && isPoller(members)
    },
    started: now => {
      startedAt = now
      isReading = true
    },
    ended: () => { isReading = false }
  }
}
