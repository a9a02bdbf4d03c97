/** The VMs of a fleet whose VMs are all linked within a zone. */
export { createRoster, type LinkedVM, type Roster, type RosterOptions } from './roster.js'
export { type Phase, type Status } from './messages.js'
export { chooseServing, inRank, type Candidate } from './serving.js'
