import { Agent } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import { createRandom } from '../target/index.js'
import { createAddressCache, type AddressCache } from './address-cache.js'
import { sendAttempt, type OutgoingRequest } from './attempt.js'
import type { Address, LoadPlan, RequestKind } from './load-plan.js'
import { createReportBuilder, canRetry, isReportedNotRun, type AttemptRecord, type Report, type RequestRecord } from './report.js'

const DEFAULT_MAX_ATTEMPTS = 3
const DEFAULT_CONNECTIONS = 64
const MS_PER_SECOND = 1000

/** Delay before a retry when the response has no retry delay. */
const DEFAULT_RETRY_DELAY_MS = 50

const clock = (): number => performance.now()

interface Sender {
  readonly plan: LoadPlan
  readonly agent: Agent
  readonly addresses: AddressCache
  readonly random: () => number
}

interface PlannedRequest {
  readonly outgoing: OutgoingRequest
  /** Scheduled send time after the start of the load, in ms. */
  readonly atMs: number
}

function chooseKind (kinds: readonly RequestKind[], random: () => number): RequestKind {
  let remainingWeight = random() * kinds.reduce((sum, { weight }) => sum + weight, 0)
  for (const kind of kinds) {
    remainingWeight -= kind.weight
    if (remainingWeight < 0) return kind
  }
  throw new RangeError('a load plan needs at least one kind with a positive weight')
}

/** Plans an open-loop load with exponential interarrival times, so that the rate is independent of the response times. */
function planRequests ({ kinds, callers, host, ratePerSecond, durationMs, seed }: LoadPlan): readonly PlannedRequest[] {
  const random = createRandom(seed)
  const requests: PlannedRequest[] = []
  let atMs = 0
  for (;;) {
    atMs += -Math.log(1 - random()) * MS_PER_SECOND / ratePerSecond
    if (atMs >= durationMs) return requests
    const kind = chooseKind(kinds, random)
    const token = `${seed}-${requests.length}`
    const headers = callers === undefined ? {} : { [callers.header]: `caller-${Math.floor(random() * callers.count)}` }
    requests.push({ atMs, outgoing: { kind, token, host, headers } })
  }
}

function chooseAddress (addresses: readonly Address[], tried: ReadonlySet<string>, random: () => number): Address | undefined {
  const untried = addresses.filter(({ address, port }) => !tried.has(`${address}:${port}`))
  const candidates = untried.length > 0 ? untried : addresses
  return candidates[Math.floor(random() * candidates.length)]
}

async function sendOnce ({ addresses, agent, random }: Sender, outgoing: OutgoingRequest, tried: Set<string>, remainingMs: number): Promise<AttemptRecord> {
  const to = chooseAddress(await addresses.get(), tried, random)
  const sentAt = Date.now()
  if (to === undefined) return { to, sentAt, result: { kind: 'lost', error: 'no address', run: 'not-run' } }
  tried.add(`${to.address}:${to.port}`)
  const result = await sendAttempt(outgoing, to, agent, remainingMs)
  if (result.kind === 'refused' && result.reason === 'not-served-here') addresses.replace(result.addresses)
  return { to, sentAt, result }
}

/** Sends a request and retries it until it succeeds, a retry is unsafe, or the attempts or the deadline are exhausted. */
async function sendWithRetries (sender: Sender, outgoing: OutgoingRequest, startedAt: number): Promise<RequestRecord> {
  const { kind, token } = outgoing
  const deadlineAt = startedAt + kind.deadlineMs
  const tried = new Set<string>()
  const history: AttemptRecord[] = []
  let wasReportedNotRun = true
  for (let attempts = 1; ; attempts++) {
    const attempt = await sendOnce(sender, outgoing, tried, deadlineAt - clock())
    history.push(attempt)
    const outcome = attempt.result
    wasReportedNotRun = wasReportedNotRun && isReportedNotRun(outcome)
    const waitMs = (outcome.kind === 'refused' ? outcome.retryAfterMs : undefined) ?? DEFAULT_RETRY_DELAY_MS
    const isLastAttempt = attempts >= (sender.plan.attempts ?? DEFAULT_MAX_ATTEMPTS) || clock() + waitMs >= deadlineAt
    if (isLastAttempt || !canRetry(outcome, kind)) {
      return { token, kind: kind.name, idempotent: kind.idempotent, outcome, attempts, history, wasReportedNotRun }
    }
    await sleep(waitMs)
  }
}

/**
 * Runs an open-loop load and returns the results. Requests are sent at their
 * scheduled times, independent of earlier responses, and latencies are measured
 * from the scheduled times.
 *
 * @example
 * const report = await runLoad({ contacts: [{ address: '127.0.0.1', port: 8080 }], service: 'listing', place: 'riga-a',
 *   host: 'listing.example', ratePerSecond: 100, durationMs: 5000, seed: 1, kinds: [{ name: 'read', weight: 1, method: 'GET',
 *   path: '/listing', idempotent: true, key: false, bodyBytes: 0, responseBytes: 500, deadlineMs: 2000 }] })
 * const { doubleRuns, untruthfulRefusals } = findViolations(report, targets.map(target => target.tally()))
 */
export async function runLoad (plan: LoadPlan): Promise<Report> {
  const random = createRandom(plan.seed + 1)
  const agent = new Agent({ keepAlive: true, maxSockets: plan.connections ?? DEFAULT_CONNECTIONS })
  const path = `/.camphorbay/addresses?service=${encodeURIComponent(plan.service)}&place=${encodeURIComponent(plan.place)}`
  const addresses = createAddressCache(plan.contacts, path, agent, random, clock)
  const sender: Sender = { plan, agent, addresses, random }
  const report = createReportBuilder()
  const running = new Set<Promise<void>>()
  const startedAt = clock()
  for (const { outgoing, atMs } of planRequests(plan)) {
    const plannedAt = startedAt + atMs
    if (plannedAt > clock()) await sleep(plannedAt - clock())
    if (plan.until?.aborted === true) break
    const task: Promise<void> = sendWithRetries(sender, outgoing, plannedAt).then(record => {
      report.add(record, clock() - plannedAt)
      running.delete(task)
    })
    running.add(task)
  }
  await Promise.all(running)
  agent.destroy()
  return report.build()
}
