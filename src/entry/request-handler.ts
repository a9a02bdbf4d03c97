/** The request pipeline: parsing, routing, quarantine, idempotency claim, admission, attempts and response. */
import type { IncomingMessage } from 'node:http'
import { Effect } from 'effect'
import type { Result as Outcome } from 'neverthrow'
import { RECORDED_BODY_LIMIT_BYTES } from '../claims/index.js'
import { refusal, type Refusal } from '../errors/index.js'
import type { RecordedResponse } from '../model/index.js'
import { ADDRESSES_PATH } from '../routing/index.js'
import { relayResponse } from './relay.js'
import { sendJson, sendReplay } from './respond.js'
import type { AttemptOutcome } from './attempt.js'
import type { BodyMemory } from './body-memory.js'
import { createBody } from './body.js'
import { checkTimeLeft, createChecks, REPLAY, type PreSendChecks, type RoutedRequest } from './pre-send-checks.js'
import type { Dialect } from './dialect.js'
import type { Exchange } from './exchange.js'
import { forward } from './forward.js'
import { endToEndHeaders, headersToRecord } from './headers.js'
import type { EntryOptions, Ending } from './options.js'
import type { Pools } from './pool.js'
import type { ResponseOrder } from './response-order.js'
import type { ParsedRequest } from './request.js'
import type { Shutdown } from './shutdown.js'

/** The VM itself serves the paths below this prefix. */
const BUILT_IN_PREFIX = '/.camphorbay/'

/** Dependencies that the handlers of all requests share. */
export interface HandlerContext {
  readonly options: EntryOptions
  readonly dialect: Dialect
  readonly pools: Pools
  readonly order: ResponseOrder
  readonly bodyMemory: BodyMemory
  /** Undefined until the entry stops. */
  readonly shutdown: () => Shutdown | undefined
}

function fromResult<A> (result: Outcome<A, Refusal>): Effect.Effect<A, Refusal> {
  return result.match<Effect.Effect<A, Refusal>>(value => Effect.succeed(value), refused => Effect.fail(refused))
}

function failIf (refused: Refusal | undefined): Effect.Effect<void, Refusal> {
  return refused === undefined ? Effect.void : Effect.fail(refused)
}

/** Serves a request for a path of the VM itself. */
const serveBuiltInPath = Effect.fnUntraced(function * ({ options, order }: HandlerContext, exchange: Exchange, request: ParsedRequest) {
  if (request.path !== ADDRESSES_PATH) return yield * Effect.fail(refusal('not-found', `no resource ${request.path}`))
  const { resolveAddresses } = options
  if (resolveAddresses === undefined) return yield * Effect.fail(refusal('not-found', 'this listener does not serve addresses'))
  if (request.method !== 'GET') return yield * Effect.fail(refusal('method-not-allowed', `${request.method} ${request.path}`))
  const query = new URLSearchParams(request.pathAndQuery.slice(request.path.length))
  const address = exchange.incoming.socket.remoteAddress ?? ''
  const addresses = yield * fromResult(resolveAddresses(query, address, options.clock()))
  yield * sendJson(exchange, order, addresses)
  return 'answered' as const
})

/** Records the response for an idempotency claim while it is relayed. */
function createRecorder (targetResponse: IncomingMessage, strippedHeaders: ReadonlySet<string>): { readonly onChunk: (chunk: Buffer) => void, readonly toRecordedResponse: () => RecordedResponse } {
  const chunks: Buffer[] = []
  let bytes = 0
  return {
    onChunk: chunk => {
      bytes += chunk.byteLength
      if (bytes <= RECORDED_BODY_LIMIT_BYTES) chunks.push(chunk)
      else chunks.length = 0
    },
    toRecordedResponse: () => ({
      status: targetResponse.statusCode ?? 0,
      headers: headersToRecord(endToEndHeaders(targetResponse.rawHeaders, strippedHeaders)),
      body: bytes <= RECORDED_BODY_LIMIT_BYTES ? Buffer.concat(chunks) : undefined
    })
  }
}

/** Relays a target's response to the caller and records it for the claim. */
function deliver (
  { options, dialect, order }: HandlerContext,
  { exchange, deadlineAt }: RoutedRequest,
  checks: PreSendChecks,
  targetResponse: IncomingMessage,
  attemptOutcome: AttemptOutcome,
  onComplete: () => void
): Effect.Effect<boolean, Refusal> {
  const claim = checks.claim()
  const recorder = claim !== undefined && attemptOutcome.run === 'ran' ? createRecorder(targetResponse, dialect.strippedResponseHeaders) : undefined
  const addedHeaders = dialect.responseHeaders({ requestId: exchange.id, attemptRun: attemptOutcome.run, requestRun: exchange.run() })
  const headers = [...endToEndHeaders(targetResponse.rawHeaders, dialect.strippedResponseHeaders), ...addedHeaders]
  return relayResponse(exchange, order, targetResponse, {
    status: targetResponse.statusCode ?? 0,
    headers,
    buffered: attemptOutcome.buffered,
    remainingMs: () => options.isDeadlineForBody === true ? deadlineAt - options.clock() : undefined,
    onChunk: recorder?.onChunk,
    onComplete: () => {
      onComplete()
      if (claim !== undefined && recorder !== undefined) options.claims?.finish(claim, recorder.toRecordedResponse())
    }
  })
}

const checkAndForward = Effect.fnUntraced(function * (context: HandlerContext, routed: RoutedRequest, checks: PreSendChecks) {
  const { exchange } = routed
  // The checks need the body. With `Expect: 100-continue`, the body arrives only after admission, so they run later.
  if (!exchange.isContinueDue()) yield * checks.run
  const isComplete = yield * forward(context.options, context.pools, {
    ...routed,
    checks,
    hasTurn: () => context.order.hasTurn(exchange),
    deliver: (targetResponse, attemptOutcome, onComplete) => deliver(context, routed, checks, targetResponse, attemptOutcome, onComplete)
  })
  return isComplete ? 'answered' as const : 'truncated' as const
})

/** Forwards a routed request, with a claim if it is not idempotent and has an idempotency key. */
function forwardRouted (context: HandlerContext, routed: RoutedRequest): Effect.Effect<Ending, Refusal> {
  const { options, order } = context
  const { exchange } = routed
  const checks = createChecks(options, routed, context.shutdown)
  const abandonUnsentClaim = Effect.sync(() => {
    const claim = checks.claim()
    if (claim !== undefined && exchange.run() === 'not-run') options.claims?.abandon(claim)
  })
  const replayOrFail = (refused: Refusal): Effect.Effect<Ending, Refusal> => {
    const recordedResponse = checks.replay()
    if (refused !== REPLAY || recordedResponse === undefined) return Effect.fail(refused)
    return sendReplay(exchange, order, recordedResponse).pipe(Effect.as('answered' as const))
  }
  return checkAndForward(context, routed, checks).pipe(
    Effect.onExit(() => abandonUnsentClaim),
    Effect.catch(replayOrFail)
  )
}

/**
 * Handles one request up to its response. Interrupting this program aborts
 * the request to the target and releases every slot.
 *
 * Errors: every refusal that a caller can receive, with the strongest run state
 * of the attempts.
 */
export const handleRequest: (context: HandlerContext, exchange: Exchange) => Effect.Effect<Ending, Refusal> =
  Effect.fnUntraced(function * (context: HandlerContext, exchange: Exchange) {
    const { options } = context
    const { bodyBytes } = options.limits
    const request = yield * fromResult(exchange.request)
    if (options.resolveAddresses !== undefined && request.path.startsWith(BUILT_IN_PREFIX)) return yield * serveBuiltInPath(context, exchange, request)
    const route = yield * fromResult(options.resolve(request.host, request.path, request.method))
    exchange.setRoute(route)
    yield * failIf(options.checkServing(route.service.name, options.clock()))
    const deadlineAt = exchange.arrivedAt + Math.min(route.class.deadlineMs, request.deadlineMs ?? Infinity)
    yield * checkTimeLeft(options, route, deadlineAt)
    const body = createBody(exchange.incoming, request.hasBody, bodyBytes, context.bodyMemory, refused => exchange.abort(refused, 'caller'))
    return yield * forwardRouted(context, { exchange, request, route, body, deadlineAt }).pipe(Effect.ensuring(Effect.sync(body.release)))
  })
