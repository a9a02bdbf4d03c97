/** Drains of targets whose machine is leaving according to the platform's VM list, in a fleet of real programs. */
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { ListedVM } from '../../src/model/index.js'
import { assertGuarantees, runUnderLoad, withFleet } from '../support/process-fleet.js'

const LEAVING_LIMIT_MS = 3000
const LEAVING_TARGET = 'holds-2'
const UNLISTED_TARGET = 'holds-3'

const drains = suite('drains of listed targets')

// Guards against work for a target whose machine is leaving, and against a drain of a target that the list does not contain.
drains('a target on a leaving machine gets no work after 3 s, and an unlisted target still gets work', async () => {
  await withFleet(4, async fleet => {
    const vms = fleet.layout.vms.map((vm): ListedVM => ({ vm, state: 'live' }))
    const target = fleet.layout.targets.holds.find(({ id }) => id === LEAVING_TARGET)
    const endpoint = { address: target?.address ?? '', port: target?.port ?? 0 }
    const machine = { name: 'machine-of-holds-2', place: 'riga-b', callers: endpoint, peers: endpoint }
    let ranBefore = 0
    const outcome = await runUnderLoad(fleet, 11_000, async () => {
      await fleet.listVMs([...vms, { vm: machine, state: 'live' }])
      await sleep(2500)
      await fleet.markTargetLeaving(LEAVING_TARGET)
      await fleet.listVMs([...vms, { vm: machine, state: 'leaving' }])
      await sleep(3000)
      await fleet.listVMs(vms)
      ranBefore = (await fleet.tally(UNLISTED_TARGET)).ran
      await sleep(3000)
    })
    assertGuarantees(outcome)
    const { afterLeaving } = await fleet.tally(LEAVING_TARGET)
    assert.ok(afterLeaving.lastMs <= LEAVING_LIMIT_MS, `work ${afterLeaving.lastMs} ms after the target left`)
    assert.ok((await fleet.tally(UNLISTED_TARGET)).ran > ranBefore, 'the unlisted target received work')
  })
})

drains.run()
