/** HTTP client of the platform's table, object store and VM list, with bounded concurrency and a circuit breaker. */
export { exchange, type ExchangeFailure, type ExchangeRequest, type ExchangeProgress, type ExchangeResponse, type Server } from './exchange.js'
export { createPlatform, type PlatformClient, type PlatformOptions } from './platform.js'
