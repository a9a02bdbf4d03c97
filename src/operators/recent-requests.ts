import type { FinishedRequest } from '../entry/index.js'

/** A finished request with the wall-clock time of its end, in ms since 1970. */
export interface RecentRequest extends FinishedRequest {
  readonly at: number
}

/** The most recent refused requests of this VM, which operators can look up for the reason. */
export interface RecentRequests {
  readonly add: (request: RecentRequest) => void
  readonly find: (requestId: string) => RecentRequest | undefined
}

const DEFAULT_CAPACITY = 10_000

/** Creates a store of the most recent `capacity` requests; the oldest are evicted. */
export function createRecentRequests (capacity = DEFAULT_CAPACITY): RecentRequests {
  const requests = new Map<string, RecentRequest>()
  return {
    add: request => {
      requests.set(request.requestId, request)
      if (requests.size <= capacity) return
      const oldest = requests.keys().next()
      if (oldest.done !== true) requests.delete(oldest.value)
    },
    find: requestId => requests.get(requestId)
  }
}
