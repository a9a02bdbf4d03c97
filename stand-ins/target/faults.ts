import { err, ok, type Result as Outcome } from 'neverthrow'

/** A fault that can be injected while the target runs. */
export type Fault =
  /** Gray failure: a share of the work fails with 500 while `/health` succeeds. */
  | { readonly kind: 'error-gray', readonly share: number }
  /** Multiplies all service times by `factor`. */
  | { readonly kind: 'straggler', readonly factor: number }
  /** Alternates between failing all work for `badMs` and failing none for `goodMs`. */
  | { readonly kind: 'flapping', readonly badMs: number, readonly goodMs: number }
  /** `/health` reports unhealthy although the work succeeds. */
  | { readonly kind: 'lying-probe' }
  /** Crashes on a request whose path or body contains `text`; with `exit`, the process ends. */
  | { readonly kind: 'crash-on', readonly text: string, readonly downMs: number, readonly exit: boolean }
  /** Crashes immediately and restarts after `downMs`. */
  | { readonly kind: 'crash', readonly downMs: number }
  /** Connections that are open now receive no further responses; new connections work. */
  | { readonly kind: 'silent' }
  /** Closes the connection in the middle of the body for a share of the responses. */
  | { readonly kind: 'truncated', readonly share: number }
  /** Delays the responses to finished work. */
  | { readonly kind: 'late', readonly delayMs: number }
  /** Announces draining in its responses; with `refuse`, it also rejects new work without running it. */
  | { readonly kind: 'draining', readonly refuse: boolean }
  /** In waves of `onMs` with `offMs` between them, rejects all work without running it, and asks its senders for a pause of `retryAfterMs`. */
  | { readonly kind: 'turn-away', readonly retryAfterMs: number, readonly onMs: number, readonly offMs: number }
  /** Multiplies service times by `factor` for `forMs`, as during a cold start. */
  | { readonly kind: 'cold', readonly forMs: number, readonly factor: number }
  /** Sends response bodies at this rate. */
  | { readonly kind: 'slow-body', readonly bytesPerSecond: number }

/** Kind of a fault. */
export type FaultKind = Fault['kind']

type FieldType = 'number' | 'string' | 'boolean'

const FIELDS: Readonly<Record<FaultKind, Readonly<Record<string, FieldType>>>> = {
  'error-gray': { share: 'number' },
  straggler: { factor: 'number' },
  flapping: { badMs: 'number', goodMs: 'number' },
  'lying-probe': {},
  'crash-on': { text: 'string', downMs: 'number', exit: 'boolean' },
  crash: { downMs: 'number' },
  silent: {},
  truncated: { share: 'number' },
  late: { delayMs: 'number' },
  draining: { refuse: 'boolean' },
  'turn-away': { retryAfterMs: 'number', onMs: 'number', offMs: 'number' },
  cold: { forMs: 'number', factor: 'number' },
  'slow-body': { bytesPerSecond: 'number' }
}

const typeOf = (value: unknown): string => typeof value

/** Whether the value is a known fault kind. */
export const isFaultKind = (value: unknown): value is FaultKind => typeof value === 'string' && value in FIELDS

/** Validates a fault that was decoded from JSON. */
export function parseFault (value: unknown): Outcome<Fault, string> {
  const fault = value as Readonly<Record<string, unknown>> | null
  const kind = fault?.['kind']
  if (fault === null || !isFaultKind(kind)) return err(`kind must be one of ${Object.keys(FIELDS).join(', ')}`)
  const invalidField = Object.entries(FIELDS[kind]).find(([name, type]) => typeOf(fault[name]) !== type)
  return invalidField === undefined ? ok(value as Fault) : err(`${kind}: ${invalidField[0]} must be a ${invalidField[1]}`)
}

/** The active faults of a target. */
export interface Faults {
  readonly set: (fault: Fault, now: number) => void
  readonly clear: (kind: FaultKind) => void
  readonly get: <Kind extends FaultKind>(kind: Kind) => Extract<Fault, { kind: Kind }> | undefined
  readonly list: () => readonly Fault[]
  /** Factor by which service times are multiplied at `now`. */
  readonly slowdown: (now: number) => number
  /** The pause that senders of work are asked for, in ms; undefined if work is accepted. */
  readonly pauseMs: (now: number) => number | undefined
  /** Whether the current unit of work fails. */
  readonly failsWork: (now: number, random: () => number) => boolean
}

/** Creates an empty set of faults. */
export function createFaults (): Faults {
  const active = new Map<FaultKind, { readonly fault: Fault, readonly since: number }>()
  const get: Faults['get'] = kind => active.get(kind)?.fault as never
  const ageOf = (kind: FaultKind, now: number): number => now - (active.get(kind)?.since ?? now)
  /** Whether a fault that comes in waves is active; the first wave begins at once. */
  const isInWave = (kind: FaultKind, onMs: number, offMs: number, now: number): boolean => ageOf(kind, now) % (onMs + offMs) < onMs
  return {
    get,
    set: (fault, now) => { active.set(fault.kind, { fault, since: now }) },
    clear: kind => { active.delete(kind) },
    list: () => [...active.values()].map(({ fault }) => fault),
    slowdown: now => {
      const cold = get('cold')
      const coldFactor = cold !== undefined && ageOf('cold', now) < cold.forMs ? cold.factor : 1
      return coldFactor * (get('straggler')?.factor ?? 1)
    },
    pauseMs: now => {
      const turnAway = get('turn-away')
      return turnAway !== undefined && isInWave('turn-away', turnAway.onMs, turnAway.offMs, now) ? turnAway.retryAfterMs : undefined
    },
    failsWork: (now, random) => {
      const flapping = get('flapping')
      if (flapping !== undefined && isInWave('flapping', flapping.badMs, flapping.goodMs, now)) return true
      const errorGray = get('error-gray')
      return errorGray !== undefined && random() < errorGray.share
    }
  }
}
