/** Replication of accepted notes to every VM, and the conditions for a VM to serve. */
export { createReplica, type Replica, type ReplicaOptions } from './replica.js'
export { CONFIRMATION_TTL_MS } from './confirmation.js'
export { OUTCOME_TIMEOUT_MS } from './undecided-notes.js'
export type { UsableConfiguration } from './configuration-intersection.js'
export type { ApplyNote } from './history.js'
