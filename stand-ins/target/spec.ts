import { err, ok, type Result as Outcome } from 'neverthrow'

/** Distribution of the service time of a request. */
export interface ServiceTime {
  readonly distribution: 'fixed' | 'exponential' | 'lognormal'
  readonly meanMs: number
  /** Standard deviation of the logarithm, for `lognormal` only. Default: 0.5. */
  readonly sigma?: number
}

/** Slowdown after each start. */
export interface ColdStart {
  readonly forMs: number
  readonly factor: number
}

/** Configuration of one target stand-in. */
export interface TargetSpec {
  readonly id: string
  /** In 127.0.0.0/8. */
  readonly address: string
  /** 0 selects any free port. Default: 0. */
  readonly port?: number
  readonly place: string
  readonly slots: number
  readonly time: ServiceTime
  /** Seed for service times and for faults that affect a share of the requests. */
  readonly seed: number
  readonly coldStart?: ColdStart
}

/** Configuration of a program that hosts targets. */
export interface TargetsSpec {
  readonly control: { readonly address: string, readonly port: number }
  readonly targets: readonly TargetSpec[]
}

type JSONObject = Readonly<Record<string, unknown>>

const DISTRIBUTIONS: ReadonlySet<unknown> = new Set(['fixed', 'exponential', 'lognormal'])
const isObject = (value: unknown): value is JSONObject => typeof value === 'object' && value !== null
const isPort = (value: unknown): boolean => Number.isInteger(value) && Number(value) >= 0 && Number(value) <= 65_535
const isAddress = (value: unknown): boolean => typeof value === 'string' && /^127(\.\d{1,3}){3}$/.test(value)

function isServiceTime (value: unknown): boolean {
  return isObject(value) && DISTRIBUTIONS.has(value['distribution']) && Number(value['meanMs']) >= 0
}

function findTargetError (value: unknown): string | undefined {
  if (!isObject(value)) return 'each target must be an object'
  const { id, address, port = 0, place, slots, time, seed } = value
  if (typeof id !== 'string' || id === '') return 'each target needs a non-empty id'
  if (!isAddress(address) || !isPort(port)) return `${id}: address must be in 127.0.0.0/8 and port a valid port number`
  if (typeof place !== 'string') return `${id}: place must be a string`
  if (!Number.isInteger(slots) || Number(slots) < 1) return `${id}: slots must be a positive integer`
  if (!isServiceTime(time)) return `${id}: time needs a distribution and meanMs`
  if (typeof seed !== 'number') return `${id}: seed must be a number`
  return undefined
}

/**
 * Parses and validates a spec file.
 *
 * @example
 * parseTargetsSpec(`{"control": {"address": "127.0.0.1", "port": 0}, "targets": [
 *   {"id": "a", "address": "127.0.0.2", "place": "riga-a", "slots": 4,
 *    "time": {"distribution": "lognormal", "meanMs": 20}, "seed": 1}]}`)
 */
export function parseTargetsSpec (text: string): Outcome<TargetsSpec, string> {
  let value: unknown
  try {
    value = JSON.parse(text)
  } catch (error) {
    return err(`the spec is not valid JSON: ${String(error)}`)
  }
  if (!isObject(value) || !isObject(value['control'])) return err('control is missing')
  const { address, port } = value['control']
  if (!isAddress(address) || !isPort(port)) return err('control needs an address in 127.0.0.0/8 and a valid port number')
  const targets = value['targets']
  if (!Array.isArray(targets) || targets.length === 0) return err('targets must be a non-empty array')
  const problem = targets.map(findTargetError).find(problem => problem !== undefined)
  return problem === undefined ? ok(value as unknown as TargetsSpec) : err(problem)
}
