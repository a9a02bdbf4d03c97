/** Sends allocations to the members, and records each one before it is sent. */
import type { ServiceContext } from './context.js'
import { LEASE_MS } from './durations.js'
import type { AllocationTracker } from './allocation-tracker.js'
import { allocationChannel, type AllocationContent } from './messages.js'
import type { ReportingMember } from './member-reports.js'
import type { Term } from './takeover.js'

/** Sends the allocations of one coordinator. */
export interface AllocationSender {
  /** Sends an allocation in response to the latest report of a member. */
  readonly send: (to: ReportingMember, content: AllocationContent) => void
  /** Requests a report from a member that has not sent one recently. */
  readonly requestReport: (vm: string) => void
  /** Whether the member has adopted an allocation that makes it the prober of the target. */
  readonly hasAdoptedProbation: (vm: string, target: string, adopted: number) => boolean
}

interface SentAllocation {
  readonly incarnation: string
  readonly contentKey: string
  /** Number of the first allocation with this content. */
  readonly firstNumber: number
  readonly content: AllocationContent
}

/** Matches the incarnation of no VM, so that no member adopts the allocation. */
const NO_INCARNATION = '-'

/** Serialises a content for comparison, without the ages, which differ in each message. */
function contentKeyOf ({ limits, ejections, draining, restarted }: AllocationContent): string {
  return JSON.stringify([
    limits,
    ejections.map(({ target, phase, times, prober }) => [target, phase, times, prober]),
    draining.map(([target]) => target),
    restarted?.map(([target]) => target)
  ])
}

/** Creates the sender of a coordinator that has sent no allocation yet. */
export function createAllocationSender (context: ServiceContext, tracker: AllocationTracker, { epoch, leaseExpiresAt, nextAllocationNumber }: Term): AllocationSender {
  const latest = new Map<string, SentAllocation>()
  const recordContent = (to: ReportingMember, content: AllocationContent, number: number): SentAllocation => {
    const contentKey = contentKeyOf(content)
    const previous = latest.get(to.vm)
    if (previous?.contentKey === contentKey && previous.incarnation === to.incarnation) return previous
    const sent = { incarnation: to.incarnation, contentKey, firstNumber: number, content }
    latest.set(to.vm, sent)
    return sent
  }
  return {
    send: (to, content) => {
      const number = nextAllocationNumber()
      const sent = recordContent(to, content, number)
      const ejected = content.ejections.filter(({ phase }) => phase !== 'slow-start').map(({ target }) => target)
      tracker.recordSent(to, number, new Map(content.limits), new Set(ejected), to.receivedAt)
      const isKnown = to.adopted >= sent.firstNumber
      const ejectionsForMs = Math.max(0, Math.min(LEASE_MS, leaseExpiresAt() - to.receivedAt))
      const body = { service: context.service().name, to: to.incarnation, epoch: epoch(), number, anchor: to.seq, ejectionsForMs }
      context.send(to.vm, allocationChannel, isKnown ? body : { ...body, content })
    },
    requestReport: vm => {
      context.send(vm, allocationChannel, { service: context.service().name, to: NO_INCARNATION, epoch: epoch(), number: 0, anchor: 0, ejectionsForMs: 0 })
    },
    hasAdoptedProbation: (vm, target, adopted) => {
      const sent = latest.get(vm)
      return sent !== undefined && adopted >= sent.firstNumber &&
        sent.content.ejections.some(record => record.target === target && record.phase === 'probation' && record.prober === vm)
    }
  }
}
