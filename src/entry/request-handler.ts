/** The way of one request, as one program: parse, route, quarantine, claim, admission, attempts, answer. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import type { Result as Outcome } from 'neverthrow'
import { RECORDED_BODY_LIMIT_BYTES } from '../claims/index.js'
import { refusal, type Refusal } from '../errors/index.js'
import type { RecordedAnswer } from '../model/index.js'
import { ADDRESSES_PATH } from '../routing/index.js'
import { relayAnswer, sendJson, sendReplay, type Delivery } from './respond.js'
import type { Outcome as AttemptOutcome } from './attempt.js'
import { createBody } from './body.js'
import { checkTime, createChecks, REPLAY, type Checks, type Routed } from './pre-send-checks.js'
import type { Dialect } from './dialect.js'
import type { Exchange } from './exchange.js'
import { forward } from './forward.js'
import { endToEnd, toRecord } from './headers.js'
import type { EntryOptions, Ending } from './options.js'
import type { Pools } from './pool.js'
import { parseRequest, type ParsedRequest } from './request.js'

/** Paths below this prefix are answered by the VM itself. */
const OWN_PREFIX = '/.camphorbay/'

/** What the ways of all requests share. */
export interface Handling {
  readonly options: EntryOptions
  readonly dialect: Dialect
  readonly pools: Pools
  readonly delivery: Delivery
}

function fromOutcome<A> (outcome: Outcome<A, Refusal>): Effect.Effect<A, Refusal> {
  return outcome.match<Effect.Effect<A, Refusal>>(value => Effect.succeed(value), refused => Effect.fail(refused))
}

function failIf (refused: Refusal | undefined): Effect.Effect<void, Refusal> {
  return refused === undefined ? Effect.void : Effect.fail(refused)
}

/** Answers a request for a path of the VM itself. */
const answerOwn = Effect.fnUntraced(function * ({ options, delivery }: Handling, exchange: Exchange, request: ParsedRequest) {
  if (request.path !== ADDRESSES_PATH) return yield * Effect.fail(refusal('not-found', `no resource ${request.path}`))
  const { answerAddresses } = options
  if (answerAddresses === undefined) return yield * Effect.fail(refusal('not-found', 'this VM gives no addresses here'))
  if (request.method !== 'GET') return yield * Effect.fail(refusal('method-not-allowed', `${request.method} ${request.path}`))
  const query = new URLSearchParams(request.pathAndQuery.slice(request.path.length))
  const address = exchange.incoming.socket.remoteAddress ?? ''
  const answer = yield * fromOutcome(answerAddresses(query, address, options.clock()))
  yield * sendJson(exchange, delivery, answer)
  return 'answered' as const
})

/** Collects the body of an answer that a claim records. */
function createRecorder (answer: IncomingMessage, replaced: ReadonlySet<string>): { readonly onChunk: (chunk: Buffer) => void, readonly recorded: () => RecordedAnswer } {
  const chunks: Buffer[] = []
  let bytes = 0
  return {
    onChunk: chunk => {
      bytes += chunk.byteLength
      if (bytes <= RECORDED_BODY_LIMIT_BYTES) chunks.push(chunk)
      else chunks.length = 0
    },
    recorded: () => ({
      status: answer.statusCode ?? 0,
      headers: toRecord(endToEnd(answer.rawHeaders, replaced)),
      body: bytes <= RECORDED_BODY_LIMIT_BYTES ? Buffer.concat(chunks) : undefined
    })
  }
}

/** Sends a target's answer to the caller and records it for the claim. */
function deliver (
  { options, dialect, delivery }: Handling,
  exchange: Exchange,
  checks: Checks,
  answer: IncomingMessage,
  outcome: AttemptOutcome,
  onWhole: () => void
): Effect.Effect<boolean> {
  const claim = checks.claim()
  const recorder = claim !== undefined && outcome.run === 'ran' ? createRecorder(answer, dialect.replacedInAnswer) : undefined
  const ownFields = dialect.answerFields({ requestId: exchange.id, attempt: outcome.run, request: exchange.run() })
  const fields = [...endToEnd(answer.rawHeaders, dialect.replacedInAnswer), ...ownFields]
  return relayAnswer(exchange, delivery, answer, {
    status: answer.statusCode ?? 0,
    headers: fields,
    collected: outcome.collected,
    onChunk: recorder?.onChunk,
    onWhole: () => {
      onWhole()
      if (claim !== undefined && recorder !== undefined) options.claims?.finish(claim, recorder.recorded())
    }
  })
}

const checkAndForward = Effect.fnUntraced(function * (handling: Handling, routed: Routed, checks: Checks) {
  const { exchange } = routed
  // Without an expectation, the checks come before admission; with one, the body comes only after it.
  if (!exchange.isContinueDue()) yield * checks.pass
  const isWhole = yield * forward(handling.options, handling.pools, {
    ...routed,
    checks,
    deliver: (answer, outcome, onWhole) => deliver(handling, exchange, checks, answer, outcome, onWhole)
  })
  return isWhole ? 'answered' as const : 'truncated' as const
})

/** Forwards a routed request, with a claim if it has a key and must not run twice. */
function forwardRouted (handling: Handling, routed: Routed): Effect.Effect<Ending, Refusal> {
  const { options, delivery } = handling
  const { exchange } = routed
  const checks = createChecks(options, routed)
  const abandonUnlessSent = Effect.sync(() => {
    const claim = checks.claim()
    if (claim !== undefined && exchange.run() === 'not-run') options.claims?.abandon(claim)
  })
  const replayOrFail = (refused: Refusal): Effect.Effect<Ending, Refusal> => {
    const recorded = checks.replay()
    if (refused !== REPLAY || recorded === undefined) return Effect.fail(refused)
    return sendReplay(exchange, delivery, recorded).pipe(Effect.as('answered' as const))
  }
  return checkAndForward(handling, routed, checks).pipe(
    Effect.onExit(() => abandonUnlessSent),
    Effect.catch(replayOrFail)
  )
}

/**
 * The way of one request up to its answer. The interruption of this program
 * passes the caller's abort on to the target and returns every slot.
 *
 * Errors: every refusal that a caller can meet, with the strongest run state
 * of the attempts.
 */
export const handleRequest: (handling: Handling, exchange: Exchange) => Effect.Effect<Ending, Refusal> =
  Effect.fnUntraced(function * (handling: Handling, exchange: Exchange) {
    const { options, dialect } = handling
    const { bodyBytes } = options.limits
    const request = yield * fromOutcome(parseRequest(exchange.incoming, bodyBytes, dialect))
    if (options.answerAddresses !== undefined && request.path.startsWith(OWN_PREFIX)) return yield * answerOwn(handling, exchange, request)
    const route = yield * fromOutcome(options.resolve(request.host, request.path, request.method))
    exchange.setRoute(route)
    yield * failIf(options.serves(route.service.name, options.clock()))
    const deadlineAt = exchange.arrivedAt + Math.min(route.class.deadlineMs, request.deadlineMs ?? Infinity)
    yield * checkTime(options, route, deadlineAt)
    const body = createBody(exchange.incoming, request.hasBody, bodyBytes, refused => exchange.abort(refused, 'caller'))
    return yield * forwardRouted(handling, { exchange, request, route, body, deadlineAt })
  })
