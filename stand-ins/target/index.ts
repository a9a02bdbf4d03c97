/** Target stand-ins for tests and the local trial, with fault injection. */
export { createTargetStandIn, type TargetStandIn, type TargetHost } from './target.js'
export { createTargets, type Targets } from './targets.js'
export { parseTargetsSpec, type ColdStart, type ServiceTime, type TargetSpec, type TargetsSpec } from './spec.js'
export { nativeTargetDialect, type TargetDialect } from './dialect.js'
export { parseFault, type Fault, type FaultKind } from './faults.js'
export type { Tally } from './tally.js'
export { createRandom } from './random.js'
export { RESPONSE_BYTES_HEADER, RESPONSE_CHECKSUM_HEADER, REQUEST_CHECKSUM_HEADER, TOKEN_HEADER, createResponseBody, checksum } from './integrity.js'
