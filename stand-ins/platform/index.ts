/** Platform stand-ins: an HTTP server, and an in-memory platform for unit tests. */
export { createPlatformStandIn, type PlatformStandIn, type PlatformStandInOptions } from './server.js'
export { createMemoryPlatform, SERVED, type PlatformCall, type CallBehaviour } from './memory-platform.js'
export { createStore, type Store } from './store.js'
export { NO_FAULTS, type Faults } from './faults.js'
export type { Stats } from './operations.js'
export { createVirtualTime, type VirtualTime } from './virtual-time.js'
export { createNoteHolder, type NoteHolder, type NoteHolderOptions } from './note-holder.js'
