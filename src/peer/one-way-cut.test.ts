import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitFor } from '../../tests/support/events.js'
import { startMesh, testVM } from '../../tests/support/mesh-vm.js'
import { openRelay, type Relay } from '../../tests/support/relay.js'

const cuts = suite('one-way link failures')

/** A link without an echo for 2 s is closed, which is checked at least every 500 ms. */
const DETECTION_LIMIT_MS = 3000

interface Case {
  readonly name: string
  readonly cut: (relay: Relay) => void
}

const cases: readonly Case[] = [
  { name: 'from the dialler', cut: relay => relay.cutForward() },
  { name: 'to the dialler', cut: relay => relay.cutBackward() }
]

for (const { name, cut } of cases) {
  // Guards against a VM that keeps a link because it still receives messages, although its own do not arrive.
  cuts(`both VMs detect a cut ${name} within 3 s and reconnect after it is healed`, async () => {
    const b = await startMesh('b', () => [])
    const relay = await openRelay(() => b.vm.peers)
    const a = await startMesh('a', () => [{ ...testVM('b'), peers: relay.endpoint }])
    try {
      await waitFor('contact', () => a.mesh.contacts().length === 1 && b.mesh.contacts().length === 1)
      await new Promise(resolve => setTimeout(resolve, 700))
      const cutAt = performance.now()
      cut(relay)
      await waitFor('loss of contact', () => a.mesh.contacts().length === 0 && b.mesh.contacts().length === 0, DETECTION_LIMIT_MS)
      const reasons = [...a.events, ...b.events].filter(({ event }) => event === 'link.closed').map(({ fields }) => fields['reason'])
      assert.ok(reasons.includes('no-echo'))
      assert.ok(performance.now() - cutAt >= 1400, 'closed before the echo timeout of 2 s')
      relay.heal()
      await waitFor('contact after the cut', () => a.mesh.contacts().length === 1 && b.mesh.contacts().length === 1, 5000)
    } finally {
      await Promise.all([a.stop(), b.stop()])
      await relay.close()
    }
  })
}

cuts.run()
