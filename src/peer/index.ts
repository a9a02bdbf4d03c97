/** Authenticated WebSocket links between VMs. */
export { createMesh, type LinkMesh, type LinkObserver, type ListenFailure, type MeshOptions, type PeerMesh } from './mesh.js'
export type { Attachment } from './dispatcher.js'
export type { CloseReason, LinkFailure } from './failure.js'
export type { TrafficTotals } from './traffic.js'
export { bytes, integer, isRecord, list, nullable, text, tuple, type Check, type Checked } from './check.js'
export { checkIncarnation, checkVM, packVM, unpackVM, type PackedVM } from './messages.js'
export { createIncarnation } from './incarnation.js'
export { FRAME_LIMIT_BYTES, HEARTBEAT_INTERVAL_MS } from './constants.js'
