/** The HTTP proxy between callers and targets: the callers' listener and the request pipeline. */
export { createEntry, type Entry, type EntryState } from './entry.js'
export type { AwaitedResponse, RelayedResponse, CallerOptions, Dialect, ForwardedRequest, Classification } from './dialect.js'
export { headerTokens, headerValues, type RawHeaders } from './headers.js'
export type { Ending, EntryOptions, FinishedRequest, Limits } from './options.js'
