/** The callers' listener and the way of a request to a target and back. */
export { createEntry, type Entry, type EntryState } from './entry.js'
export type { AnsweredRequest, CallerWish, Dialect, ForwardedRequest, Judgement } from './dialect.js'
export { tokensOf, valuesOf, type RawHeaders } from './headers.js'
export type { Ending, EntryOptions, FinishedRequest, Limits } from './options.js'
