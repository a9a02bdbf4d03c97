/**
 * Returns monotonic time in ms. Decision logic takes `now` as a parameter; only the daemon and tasks that
 * sleep read a clock.
 */
export type Clock = () => number
