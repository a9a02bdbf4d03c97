/** The narrow interface to the platform: HTTP client with bounded concurrency and a circuit breaker. */
export { exchange, type ExchangeFailure, type Outgoing, type Progress, type Reply, type Server } from './exchange.js'
export { createPlatform, type PlatformClient, type PlatformOptions } from './platform.js'
