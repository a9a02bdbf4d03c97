/** Headers with which a target states what its responses mean. */
import type { IncomingMessage } from 'node:http'

type Headers = Readonly<Record<string, string>>

/** The conventions between a target and those that send to it. */
export interface TargetDialect {
  /** Headers of every response to work, for example the id of its request. */
  readonly responseHeaders: (request: IncomingMessage) => Headers
  /** States that the request was not run. */
  readonly notRun: Headers
  /** States that the target is about to leave. */
  readonly leaving: Headers
}

/** The native dialect of the fleet. */
export const nativeTargetDialect: TargetDialect = {
  responseHeaders: () => ({}),
  notRun: { 'camphorbay-run': 'not-run' },
  leaving: { 'camphorbay-state': 'draining' }
}
