/** Tests release notes over the HTTP client with the platform stand-in. */
import { Effect } from 'effect'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Note } from '../model/index.js'
import { createPlatform } from '../platform/index.js'
import { createNoteHolder, createPlatformStandIn, type Faults, type PlatformStandIn } from '../../stand-ins/platform/index.js'
import { parseNote, type Registry } from './index.js'

const overHttp = suite('notes over HTTP')

const TIMEOUT_MS = 400

async function withRegistries (count: number, run: (registries: readonly Registry[], standIn: PlatformStandIn) => Promise<void>): Promise<void> {
  const standIn = await createPlatformStandIn()
  const clients = Array.from({ length: count }, () => createPlatform({ ...standIn, timeoutMs: TIMEOUT_MS }))
  try {
    const clock = (): number => performance.now()
    await run(clients.map((platform, i) => createNoteHolder({ platform, clock, vm: `entry-${i}` }).registry), standIn)
  } finally {
    for (const client of clients) client.close()
    await standIn.close()
  }
}

const noteOf = (id: string): Note => parseNote(JSON.stringify({
  id, base: 0, added: { services: [{ name: id, classes: [{ name: 'read' }], floor: 0, preference: 'accuracy' }] }
}))._unsafeUnwrap()

/** Submits a note; returns `accepted` or the kind of the refusal. */
const submit = (registry: Registry, id: string): Promise<string> => Effect.runPromise(
  registry.submit(noteOf(id)).pipe(Effect.match({ onSuccess: () => 'accepted', onFailure: ({ kind }) => kind })))

interface Case {
  readonly name: string
  readonly faults: Partial<Faults>
  readonly expected: string
}

// Guards against failures of the HTTP client that the in-memory platform does not simulate.
const cases: readonly Case[] = [
  { name: 'without fault', faults: {}, expected: 'accepted' },
  { name: 'with a slow platform', faults: { delayMs: 40 }, expected: 'accepted' },
  { name: 'with every acknowledgement lost', faults: { loseAcknowledgementEvery: 1 }, expected: 'accepted' },
  { name: 'with a platform that refuses', faults: { outage: 'refuse' }, expected: 'platform-unavailable' },
  { name: 'with a platform that closes connections', faults: { outage: 'close' }, expected: 'platform-unavailable' },
  { name: 'with a platform that does not respond', faults: { outage: 'hang' }, expected: 'platform-unavailable' }
]

for (const { name, faults, expected } of cases) {
  overHttp(`${name}: ${expected}`, () => withRegistries(1, async ([registry], standIn) => {
    standIn.setFaults(faults)
    assert.is(registry === undefined ? '' : await submit(registry, 'a'), expected)
    assert.is(standIn.store.keys('note/').length, expected === 'accepted' ? 1 : 0)
  }))
}

// Guards against lost or duplicate notes when several VMs commit concurrently.
overHttp('three VMs that submit concurrently while acknowledgements are lost: one note each', () => withRegistries(3, async (registries, standIn) => {
  standIn.setFaults({ loseAcknowledgementEvery: 2 })
  const results = await Promise.all(registries.map((registry, i) => submit(registry, `n-${i}`)))
  assert.equal(results, ['accepted', 'accepted', 'accepted'])
  assert.equal(standIn.store.keys('note-id/'), ['note-id/n-0', 'note-id/n-1', 'note-id/n-2'])
  const { configuration } = await Effect.runPromise(registries[0]!.load())
  assert.equal(configuration.services.map(service => service.name).sort(), ['n-0', 'n-1', 'n-2'])
}))

overHttp.run()
