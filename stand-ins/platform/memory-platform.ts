/** In-memory platform without a network, for tests that inject a fault into each call. */
import { Effect } from 'effect'
import type { Clock, Platform, PlatformFailure } from '../../src/model/index.js'
import type { Store } from './store.js'

/** How the platform handles one call. */
export interface CallBehaviour {
  /** Time until the call takes effect, in ms. */
  readonly delayMs: number
  /**
   * `served`: takes effect and succeeds. `refused`: no effect; fails with `unavailable`. The other outcomes
   * fail with `unknown`. `lost-request`: no effect. `lost-acknowledgement`: takes effect.
   * `late`: takes effect `lateMs` after the failure.
   */
  readonly outcome: 'served' | 'refused' | 'lost-request' | 'lost-acknowledgement' | 'late'
  /** Delay of the effect for `late`, in ms. */
  readonly lateMs?: number
  /** Staleness of a table read or the VM list, in ms. */
  readonly lagMs?: number
  /** Whether only every second row of a read is stale, as with rows on different replicas. Default: false. */
  readonly skewed?: boolean
}

/** Description of a call, on which its behaviour can depend. */
export interface PlatformCall {
  readonly operation: 'read' | 'transact' | 'getObject' | 'putObject' | 'listVMs'
  readonly keys: readonly string[]
}

/** The call succeeds without delay. */
export const SERVED: CallBehaviour = { delayMs: 0, outcome: 'served' }

const unavailable: PlatformFailure = { kind: 'unavailable', detail: 'the platform refused the call' }
const unknown: PlatformFailure = { kind: 'unknown', detail: 'no response from the platform' }

/** Runs `perform` with the given behaviour. */
function simulate<Value> (behaviour: CallBehaviour, perform: () => Value): Effect.Effect<Value, PlatformFailure> {
  const delayedEffect = Effect.sleep(behaviour.lateMs ?? 0).pipe(Effect.andThen(Effect.sync(perform)))
  switch (behaviour.outcome) {
    case 'served': return Effect.sync(perform)
    case 'refused': return Effect.fail(unavailable)
    case 'lost-request': return Effect.fail(unknown)
    case 'lost-acknowledgement': return Effect.sync(perform).pipe(Effect.andThen(Effect.fail(unknown)))
    case 'late': return Effect.forkDetach(delayedEffect).pipe(Effect.andThen(Effect.fail(unknown)))
  }
}

/**
 * Creates a platform on a store that can be shared with other platforms.
 *
 * @param chooseBehaviour selects the behaviour of each call
 *
 * @example
 * createMemoryPlatform(createStore(), () => performance.now())
 */
export function createMemoryPlatform (store: Store, clock: Clock, chooseBehaviour: (call: PlatformCall) => CallBehaviour = () => SERVED): Platform {
  const call = <Value>(operation: PlatformCall['operation'], keys: readonly string[], perform: (behaviour: CallBehaviour) => Value): Effect.Effect<Value, PlatformFailure> =>
    Effect.suspend(() => {
      const behaviour = chooseBehaviour({ operation, keys })
      const result = simulate(behaviour, () => perform(behaviour))
      return behaviour.delayMs > 0 ? Effect.sleep(behaviour.delayMs).pipe(Effect.andThen(result)) : result
    })
  const readMany: Platform['readMany'] = keys => call('read', keys, ({ lagMs = 0, skewed = false }) => keys.flatMap((key, i) =>
    store.read([key], clock(), skewed && i % 2 === 0 ? 0 : lagMs)))
  return {
    read: key => readMany([key]).pipe(Effect.map(([row]) => row)),
    readMany,
    transact: (writes, conditions = []) => call('transact', [...writes, ...conditions].map(({ key }) => key), () =>
      store.transact(writes, clock(), conditions)),
    getObject: key => call('getObject', [key], () => store.getObject(key)),
    putObject: (key, value) => call('putObject', [key], () => store.putObject(key, value)),
    listVMs: () => call('listVMs', [], ({ lagMs }) => store.listVMs(clock(), lagMs))
  }
}
