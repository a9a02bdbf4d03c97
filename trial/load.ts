/** The traffic of the trial. */
import type { LoadPlan } from '../stand-ins/caller/index.js'
import type { Layout } from './layout.js'

const LISTING_RATE = 300
const HOLDS_RATE = 60
const CALLERS = 200

/** Idempotent reads of the listing; reads and placements of holds. */
export function planLoads (layout: Layout, durationMs: number, seed: number): readonly LoadPlan[] {
  const contacts = layout.vms.map(vm => vm.callers)
  const callers = { header: 'camphorbay-caller', count: CALLERS }
  const common = { contacts, place: 'riga-a', host: 'trial.example', durationMs, callers }
  return [
    {
      ...common,
      service: 'listing',
      ratePerSecond: LISTING_RATE,
      seed,
      kinds: [{
        name: 'search', weight: 1, method: 'GET', path: '/listing/search', idempotent: true, key: false, bodyBytes: 0, responseBytes: 2000, deadlineMs: 2000
      }]
    },
    {
      ...common,
      service: 'holds',
      ratePerSecond: HOLDS_RATE,
      seed: seed + 100,
      kinds: [
        { name: 'read', weight: 1, method: 'GET', path: '/holds/7', idempotent: true, key: false, bodyBytes: 0, responseBytes: 500, deadlineMs: 2000 },
        { name: 'place', weight: 1, method: 'POST', path: '/holds', idempotent: false, key: true, bodyBytes: 200, responseBytes: 200, deadlineMs: 3000 }
      ]
    }
  ]
}
