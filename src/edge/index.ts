/** An edge VM, which reads its configuration and its targets from a shared store. */
export { startEdge, type AddressList, type Edge, type EdgeOptions } from './edge.js'
export { jsonResponse, NOT_FOUND, type EndpointResponse, type OpenFailure, type Responder } from './http-endpoint.js'
export type { EdgeSettings } from './settings.js'
export type { EventLoopTime } from './load-meter.js'
