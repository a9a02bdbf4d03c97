/** The VMs of the fleet, their status, and which of them serve callers. */
export { createRoster, type LinkedVM, type Roster, type RosterOptions } from './roster.js'
export { listedVMsChannel, MAX_LISTED_VMS, packListedVM, unpackListedVM, type LifecyclePhase, type Status } from './messages.js'
export { coresOf, selectServing, sortByRank, type Demand, type ServingCandidate } from './serving-vms.js'
