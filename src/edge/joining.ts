/** Finds the other VMs: in the store, and through seeds while the store is away. */
import { get } from 'node:http'
import { Effect, Schema } from 'effect'
import type { Log } from '../log/index.js'
import type { Endpoint, VM } from '../model/index.js'
import type { Roster } from '../roster/index.js'
import type { Store } from '../store/index.js'

/** Path on the admin endpoint that lists the known VMs. */
export const VMS_PATH = '/vms'

const FIRST_PAUSE_MS = 300
const LONGEST_PAUSE_MS = 3000
/** Time between two reads of the list; VMs that join dial the others, so it only mends what that misses. */
const REFRESH_MS = 20_000
const SEED_TIMEOUT_MS = 800

const EndpointForm = Schema.Struct({ address: Schema.String, port: Schema.Int })
const VMs = Schema.Array(Schema.Struct({ name: Schema.String, place: Schema.String, callers: EndpointForm, peers: EndpointForm }))
const decodeVMs = Schema.decodeUnknownResult(VMs)

function parseVMs (text: string): readonly VM[] | undefined {
  try {
    const decoded = decodeVMs(JSON.parse(text))
    return decoded._tag === 'Success' ? decoded.success : undefined
  } catch {
    // A seed's address may belong to another program by now.
    return undefined
  }
}

/** Asks the VM at a seed for the VMs that it knows. */
export function askSeed ({ address, port }: Endpoint): Effect.Effect<readonly VM[], string> {
  return Effect.callback(resume => {
    const request = get({ host: address, port, path: VMS_PATH, timeout: SEED_TIMEOUT_MS, agent: false }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', error => resume(Effect.fail(error.message)))
      response.on('end', () => {
        const vms = parseVMs(Buffer.concat(chunks).toString())
        resume(vms === undefined ? Effect.fail('the answer is no list of VMs') : Effect.succeed(vms))
      })
    })
    request.on('timeout', () => request.destroy(new Error(`no answer within ${SEED_TIMEOUT_MS} ms`)))
    request.on('error', error => resume(Effect.fail(error.message)))
    return Effect.sync(() => { request.destroy() })
  })
}

/** What joining depends on. */
export interface JoiningOptions {
  readonly self: VM
  readonly seeds: () => readonly Endpoint[]
  readonly store: Store
  readonly roster: Roster
  readonly log: Log
}

/** Enters this VM in the store's list and learns of the others; runs until interrupted. */
export function join ({ self, seeds, store, roster, log }: JoiningOptions): Effect.Effect<never> {
  const learnFromSeeds = Effect.suspend(() => Effect.forEach(seeds(), seed => askSeed(seed).pipe(
    Effect.match({
      onSuccess: vms => roster.add(vms),
      onFailure: detail => log.info('seed.unavailable', { address: seed.address, detail })
    })), { concurrency: 'unbounded', discard: true }))

  const enter = Effect.gen(function * () {
    for (let pauseMs = FIRST_PAUSE_MS; ; pauseMs = Math.min(LONGEST_PAUSE_MS, 2 * pauseMs)) {
      const entered = yield * Effect.result(store.register(self).pipe(Effect.andThen(store.listVMs())))
      if (entered._tag === 'Success') return roster.add(entered.success)
      log.warn('vm-list.unavailable', { detail: entered.failure.detail })
      yield * learnFromSeeds
      yield * Effect.sleep(pauseMs)
    }
  })

  const refresh = Effect.sleep(REFRESH_MS).pipe(
    Effect.andThen(store.listVMs()),
    Effect.match({
      onSuccess: vms => roster.add(vms),
      onFailure: ({ detail }) => log.info('vm-list.unavailable', { detail })
    }))

  return enter.pipe(Effect.andThen(Effect.forever(refresh)))
}
