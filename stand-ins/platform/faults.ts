/** Faults that can be injected into the platform stand-in. */
import { Schema } from 'effect'
import { MAX_LAG_MS } from './store.js'

const Lag = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: MAX_LAG_MS }))
const Delay = Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 600_000 }))

/** Schema of {@link Faults}. All fields are optional in a control request. */
export const FaultsSchema = Schema.Struct({
  /**
   * `refuse`: responds with 503 without effect. `close`: closes each connection before the
   * request takes effect. `hang`: never responds, without effect. Example: `"hang"`.
   */
  outage: Schema.optionalKey(Schema.Literals(['none', 'refuse', 'close', 'hang'])),
  /** Delay of each response in ms; half of it passes before the request takes effect. Example: `250`. */
  delayMs: Schema.optionalKey(Delay),
  /** Every n-th write takes effect, but its connection is closed without a response; 0 disables this. Example: `3`. */
  loseAcknowledgementEvery: Schema.optionalKey(Schema.Int.check(Schema.isBetween({ minimum: 0, maximum: 1_000_000 }))),
  /** Staleness of table reads in ms. Example: `1000`. */
  readLagMs: Schema.optionalKey(Lag),
  /** Staleness of the VM list in ms. Example: `5000`. */
  listLagMs: Schema.optionalKey(Lag)
})

/** The active faults. */
export type Faults = Required<typeof FaultsSchema.Type>

/** No active faults. */
export const NO_FAULTS: Faults = { outage: 'none', delayMs: 0, loseAcknowledgementEvery: 0, readLagMs: 0, listLagMs: 0 }
