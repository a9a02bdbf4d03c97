/** At-most-once execution of requests with an idempotency key: claims in the platform's table, with batched writes and background deletion. */
export { createClaims, type ClaimsOptions, type DrainableClaims } from './claims.js'
export { RECORDED_BODY_LIMIT_BYTES } from './claim-row.js'
