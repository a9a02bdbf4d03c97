/** Discovers the other VMs through the store, or through seeds while the store is unavailable. */
import { get } from 'node:http'
import { Effect, Schema } from 'effect'
import type { Log } from '../log/index.js'
import type { Endpoint, Mesh, VM } from '../model/index.js'
import { listedVMsChannel, MAX_LISTED_VMS, packListedVM, unpackListedVM, type Roster } from '../roster/index.js'
import type { Store } from '../store/index.js'

/** Admin endpoint path that lists the known VMs. */
export const VMS_PATH = '/vms'

const INITIAL_BACKOFF_MS = 300
const MAX_BACKOFF_MS = 3000
/** Interval between reads of the list. New VMs dial the others when they join, so this only covers VMs that were missed. */
const REFRESH_INTERVAL_MS = 20_000
/** Live VMs of a zone that read the list again; the others are told what they find. */
const REFRESHING_VMS = 2
/** Number of intervals after which every VM reads the list again, in case it was not told. */
const FULL_REFRESH_INTERVALS = 6
/** Interval at which a VM checks whether the store was restored after it registered, in ms. */
const ERA_CHECK_INTERVAL_MS = 250
/** Registrations of the whole fleet after a restore, per second: a fraction of what one part of a table takes. */
const REREGISTRATIONS_PER_SECOND = 60
const SEED_TIMEOUT_MS = 800
/** Time without an answer of the store after which the seeds are asked, in ms; the store may still be busy with the registrations of other VMs. */
const SEED_DELAY_MS = 700

const EndpointSchema = Schema.Struct({ address: Schema.String, port: Schema.Int })
const VMListSchema = Schema.Array(Schema.Struct({
  name: Schema.String, place: Schema.String, callers: EndpointSchema, peers: EndpointSchema, cores: Schema.optionalKey(Schema.Finite)
}))
const decodeVMs = Schema.decodeUnknownResult(VMListSchema)

function parseVMs (text: string): readonly VM[] | undefined {
  try {
    const decoded = decodeVMs(JSON.parse(text))
    return decoded._tag === 'Success' ? decoded.success : undefined
  } catch {
    // Another program may have taken over the seed's address.
    return undefined
  }
}

/** Fetches the list of known VMs from a seed. */
export function fetchVMsFromSeed ({ address, port }: Endpoint): Effect.Effect<readonly VM[], string> {
  return Effect.callback(resume => {
    const request = get({ host: address, port, path: VMS_PATH, timeout: SEED_TIMEOUT_MS, agent: false }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', error => resume(Effect.fail(error.message)))
      response.on('end', () => {
        const vms = parseVMs(Buffer.concat(chunks).toString())
        resume(vms === undefined ? Effect.fail('the response is not a list of VMs') : Effect.succeed(vms))
      })
    })
    request.on('timeout', () => request.destroy(new Error(`no response within ${SEED_TIMEOUT_MS} ms`)))
    request.on('error', error => resume(Effect.fail(error.message)))
    return Effect.sync(() => { request.destroy() })
  })
}

/** Settings and dependencies of the join. */
export interface JoiningOptions {
  readonly self: VM
  readonly seeds: () => readonly Endpoint[]
  readonly store: Store
  /** The newest era of the store that this VM knows. */
  readonly era: () => number
  readonly roster: Roster
  readonly mesh: Mesh
  readonly random: () => number
  readonly log: Log
}

/** Registers this VM in the store, again after each restore of the store, and keeps the roster up to date with the other VMs; runs until interrupted. */
export function join ({ self, seeds, store, era, roster, mesh, random, log }: JoiningOptions): Effect.Effect<never> {
  mesh.subscribe(listedVMsChannel, (_from, packed) => { roster.add(packed.map(unpackListedVM)) })

  const tellZone = (vms: readonly VM[]): void => {
    const peers = roster.linked().filter(({ vm }) => vm.place === self.place)
    for (let start = 0; start < vms.length; start += MAX_LISTED_VMS) {
      const packed = vms.slice(start, start + MAX_LISTED_VMS).map(packListedVM)
      for (const { vm } of peers) mesh.send(vm.name, listedVMsChannel, packed)
    }
  }

  const discoverFromSeeds = Effect.suspend(() => Effect.forEach(seeds(), seed => fetchVMsFromSeed(seed).pipe(
    Effect.match({
      onSuccess: vms => { roster.add(vms) },
      onFailure: detail => log.info('seed.unavailable', { address: seed.address, detail })
    })), { concurrency: 'unbounded', discard: true }))

  const askSeedsMeanwhile = Effect.sleep(SEED_DELAY_MS).pipe(Effect.andThen(discoverFromSeeds), Effect.andThen(Effect.never))

  /** The era in which the entry of this VM was written. */
  let registeredIn = 0
  const register = store.register(self).pipe(Effect.tap(writtenIn => Effect.sync(() => { registeredIn = writtenIn })))

  const registerWithRetry = Effect.gen(function * () {
    for (let backoffMs = INITIAL_BACKOFF_MS; ; backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs)) {
      const result = yield * Effect.result(Effect.raceFirst(register.pipe(Effect.andThen(store.listVMs())), askSeedsMeanwhile))
      if (result._tag === 'Success') {
        roster.add(result.success)
        return
      }
      log.warn('vm-list.unavailable', { detail: result.failure.detail })
      yield * discoverFromSeeds
      yield * Effect.sleep(backoffMs)
    }
  })

  const readAgain = store.listVMs().pipe(Effect.match({
    onSuccess: vms => tellZone(roster.add(vms)),
    onFailure: ({ detail }) => log.info('vm-list.unavailable', { detail })
  }))
  let intervals = 0
  const refresh = Effect.sleep(REFRESH_INTERVAL_MS).pipe(Effect.andThen(Effect.suspend(() => {
    intervals++
    const isDue = roster.rank() < REFRESHING_VMS || intervals % FULL_REFRESH_INTERVALS === 0
    return isDue ? readAgain : Effect.void
  })))

  /** Spreads the registrations of all VMs, which learn of a restore at about the same time. */
  const spreadMs = (): number => random() * 1000 * (roster.known().length + 1) / REREGISTRATIONS_PER_SECOND

  const registerAgain = Effect.suspend(() => Effect.sleep(spreadMs()).pipe(
    Effect.andThen(register),
    Effect.match({
      onSuccess: () => log.info('vm.registered-again', { era: registeredIn }),
      onFailure: ({ detail }) => log.warn('vm.registration-failed', { detail })
    })))

  const followEra = Effect.forever(Effect.sleep(ERA_CHECK_INTERVAL_MS).pipe(
    Effect.andThen(Effect.suspend(() => era() > registeredIn ? registerAgain : Effect.void))))

  return registerWithRetry.pipe(Effect.andThen(Effect.all([Effect.forever(refresh), followEra], { concurrency: 'unbounded' })), Effect.andThen(Effect.never))
}
