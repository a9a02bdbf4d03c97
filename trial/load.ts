/** Load of the trial. */
import type { LoadPlan } from '../stand-ins/caller/index.js'
import type { Layout } from './layout.js'

const LISTING_REQUESTS_PER_SECOND = 300
const HOLDS_REQUESTS_PER_SECOND = 60
const CALLER_COUNT = 200

/** Plans one load per service: idempotent searches of the listing, and reads and placements of holds. */
export function planLoads (layout: Layout, durationMs: number, seed: number): readonly LoadPlan[] {
  const contacts = layout.vms.map(vm => vm.callers)
  const callers = { header: 'camphorbay-caller', count: CALLER_COUNT }
  const common = { contacts, place: 'riga-a', host: 'trial.example', durationMs, callers }
  return [
    {
      ...common,
      service: 'listing',
      ratePerSecond: LISTING_REQUESTS_PER_SECOND,
      seed,
      kinds: [{
        name: 'search', weight: 1, method: 'GET', path: '/listing/search', idempotent: true, key: false, bodyBytes: 0, responseBytes: 2000, deadlineMs: 2000
      }]
    },
    {
      ...common,
      service: 'holds',
      ratePerSecond: HOLDS_REQUESTS_PER_SECOND,
      seed: seed + 100,
      kinds: [
        { name: 'read', weight: 1, method: 'GET', path: '/holds/7', idempotent: true, key: false, bodyBytes: 0, responseBytes: 500, deadlineMs: 2000 },
        { name: 'place', weight: 1, method: 'POST', path: '/holds', idempotent: false, key: true, bodyBytes: 200, responseBytes: 200, deadlineMs: 3000 }
      ]
    }
  ]
}
