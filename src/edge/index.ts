/** A VM of a fleet that keeps its configuration and its targets in a store. */
export { startEdge, type AddressAnswer, type Edge, type EdgeOptions } from './edge.js'
export { jsonAnswer, NOT_FOUND, type EndpointAnswer, type OpenFailure, type Responder } from './http-endpoint.js'
export type { EdgeSettings } from './settings.js'
