/** An IP address and a port. */
export interface Address {
  readonly address: string
  readonly port: number
}

/** A kind of requests in a load. */
export interface RequestKind {
  readonly name: string
  /** Share of the requests, relative to the weights of the other kinds. */
  readonly weight: number
  readonly method: string
  readonly path: string
  readonly idempotent: boolean
  /** Whether the request carries an Idempotency-Key, which makes retries safe. */
  readonly key: boolean
  readonly bodyBytes: number
  readonly responseBytes: number
  readonly deadlineMs: number
}

/** Specification of a load. */
export interface LoadPlan {
  /** VMs that can be queried for the addresses of the service. */
  readonly contacts: readonly Address[]
  readonly service: string
  /** Zone of the caller. */
  readonly place: string
  /** Value of the Host header. */
  readonly host: string
  readonly kinds: readonly RequestKind[]
  readonly ratePerSecond: number
  readonly durationMs: number
  /** Stops the load before `durationMs`; requests in flight are completed. Default: never. */
  readonly until?: AbortSignal
  /** Seed for arrival times, kinds, tokens and the choice of addresses. */
  readonly seed: number
  /** Maximum attempts per request, including the first. Default: 3. */
  readonly attempts?: number
  /** Maximum connections per address. Default: 64. */
  readonly connections?: number
  /** Header that identifies the caller, and the number of distinct callers. Default: none. */
  readonly callers?: { readonly header: string, readonly count: number }
}
