/** Durations of leases and allocations, in ms. Grantors and holders have to use the same values. */

/** Lifetime of a lease grant and of an allocation. */
export const LEASE_MS = 2_000
/** Safety margin of the holder: its grants expire this much earlier than at the grantor, so that clock drift cannot make them outlast the grantor's. */
export const CLOCK_DRIFT_MARGIN_MS = 20
/** Interval between lease renewals. A lease survives the loss of two in a row. */
export const RENEWAL_INTERVAL_MS = 500
/** Interval between allocations. */
export const ALLOCATION_INTERVAL_MS = 250
/** Interval between reports while there are new counts. */
export const REPORT_INTERVAL_MS = 100
/** Interval between reports without new counts. The lifetime of the next allocation starts at the report. */
export const KEEPALIVE_INTERVAL_MS = 500
/** Time after the expiry of an allocation during which its requests may still be in flight at the target. */
export const IN_FLIGHT_GRACE_MS = 2_000
/** Interval between calls of `tick`. */
export const TICK_MS = 50
/** A tick that is late by more than this means that the process was paused. */
export const PAUSE_THRESHOLD_MS = 1_000
/** Longest time between two VMs applying the same change of a subset or of the targets: a note takes effect on all VMs within 8 s. */
export const PROPAGATION_MS = 8_000
