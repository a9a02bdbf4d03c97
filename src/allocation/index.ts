/** Coordinator lease, slot shares and the floor. */
export { createCoordination, type Coordination, type CoordinationOptions } from './coordination.js'
export { createCoordinator, type Coordinator } from './coordinator.js'
export { createShares, createServiceShares, type ServiceShares, type ShareSource } from './shares.js'
export { baseShare, baseTotal } from './base-shares.js'
export { floorArithmetic, withinFloor, type FloorArithmetic } from './floor.js'
export { type Explanation } from './explain.js'
export { allocation, evidenceReport, leaseGrant, leaseRequest } from './messages.js'
export { TICK_MS } from './durations.js'
