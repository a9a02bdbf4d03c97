/** Release notes: parsing, checks, application to the configuration, and submission to the platform's table. */
export { parseNote, validateNote, NOTE_LIMIT_BYTES } from './parse-note.js'
export { checkNote, applyNote, EMPTY_CONFIGURATION, type Conflict } from './check-note.js'
export { createRegistry, type Registry, type RegistryOptions, type LoadedConfiguration } from './registry.js'
export { checkAcceptedNote, checkSnapshot } from './records.js'
export { SNAPSHOT_INTERVAL } from './snapshots.js'
export type { Head } from './note-reader.js'
export type { Mistake } from '../schema/index.js'
export type { Announce, Announcement } from './submission.js'
