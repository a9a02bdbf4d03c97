/** Membership of the fleet: its live, suspect, leaving and gone VMs. */
export { createMembership, type Membership, type MembershipOptions } from './membership.js'
export { CONTACT_TIMEOUT_MS, SUSPECT_TIMEOUT_MS } from './member-table.js'
export { hashText, rankVMs } from './rank.js'
export { neighbours } from './topology.js'
