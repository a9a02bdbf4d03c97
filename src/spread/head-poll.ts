/** Schedules the reads of the head row of the platform's table by this VM. */
import { rankVMs } from '../membership/index.js'
import type { Member } from '../model/index.js'

/** Interval between the reads of a poller. */
const POLL_INTERVAL_MS = 500

/** Number of VMs that poll the head: two, so that one may fail. */
const POLLER_COUNT = 2

/** Interval between the reads of an unconfirmed VM, per VM in contact: together they read 10 times a second. */
const UNCONFIRMED_INTERVAL_MS_PER_VM = 100

/** Minimum interval between the reads of an unconfirmed VM. */
const MIN_UNCONFIRMED_INTERVAL_MS = 500

/** Time after which another read may start. The late result of the first one still counts. */
const READ_TIMEOUT_MS = 2000

const POLLER_RANK_KEY = 'config/head'

/** Inputs of the schedule. */
export interface PollState {
  readonly members: readonly Member[]
  /** Number of VMs in contact, this one included. A read by one of them confirms all of them. */
  readonly contactCount: number
  /** Whether this VM can wait for the reads of others. */
  readonly isConfirmed: boolean
}

/** Schedule of the reads. */
export interface HeadPoll {
  /** Whether to start a read now. */
  readonly isDue: (state: PollState, now: number) => boolean
  readonly started: (now: number) => void
  readonly ended: () => void
}

/** Creates the schedule. The first read is due at once. */
export function createHeadPoll (self: string, random: () => number): HeadPoll {
  let startedAt = -Infinity
  let isReading = false
  /** When the next read of an unconfirmed VM is due; undefined while it is confirmed. */
  let nextUnconfirmedReadAt: number | undefined = -Infinity

  const isPoller = (members: readonly Member[]): boolean =>
    rankVMs(POLLER_RANK_KEY, members.filter(({ state }) => state === 'live').map(({ vm }) => vm.name))
      .slice(0, POLLER_COUNT).includes(self)
  const unconfirmedDelayMs = (vmCount: number): number =>
    Math.max(MIN_UNCONFIRMED_INTERVAL_MS, vmCount * UNCONFIRMED_INTERVAL_MS_PER_VM) * (0.5 + random())

  return {
    isDue: ({ members, contactCount, isConfirmed }, now) => {
      if (isReading && now - startedAt < READ_TIMEOUT_MS) return false
      if (isConfirmed) nextUnconfirmedReadAt = undefined
      else nextUnconfirmedReadAt ??= now + random() * unconfirmedDelayMs(contactCount)
      if (nextUnconfirmedReadAt !== undefined && now >= nextUnconfirmedReadAt) {
        nextUnconfirmedReadAt = now + unconfirmedDelayMs(contactCount)
        return true
      }
      return now - startedAt >= POLL_INTERVAL_MS && isPoller(members)
    },
    started: now => {
      startedAt = now
      isReading = true
    },
    ended: () => { isReading = false }
  }
}
