/** Gray failures of targets behind a fleet of real programs. */
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Fault } from '../../stand-ins/target/index.js'
import type { RunningFleet } from '../../trial/fleet.js'
import { measureDetection } from '../../trial/observer.js'
import { assertGuarantees, LONG_TIME_LIMITS, runUnderLoad, unansweredOutcomes, withFleet } from '../support/process-fleet.js'

/** Covers the time before the fault, the longest detection, and the time after it. */
const LOAD_LIMIT_MS = 30_000
const FAULT_AFTER_MS = 2000
const DETECTION_LIMIT_MS = 6000
/** Several times the default deadline of a request on a silent connection. */
const SILENT_MS = 6000
const VMS = 3
const QUARANTINE_LIMIT_MS = 8000
const POISON = 'poison'

const grayFailures = suite('gray failures in a running fleet')

interface Case {
  readonly name: string
  readonly fault: Fault
}

const FAULTY_TARGET = 'holds-4'

const cases: readonly Case[] = [
  { name: 'a target that fails all work', fault: { kind: 'error-gray', share: 1 } },
  { name: 'a slow target', fault: { kind: 'straggler', factor: 20 } },
  { name: 'truncated responses', fault: { kind: 'truncated', share: 1 } }
]

for (const { name, fault } of cases) {
  // Guards against a faulty target that still receives work, or a healthy one that is ejected with it.
  grayFailures(`${name}: no wrong response, and no other target is ejected`, async () => {
    await withFleet(VMS, async fleet => {
      let detectionMs: number | undefined
      const outcome = await runUnderLoad(fleet, LOAD_LIMIT_MS, async () => {
        await sleep(FAULT_AFTER_MS)
        await fleet.setTargetFault(FAULTY_TARGET, fault)
        detectionMs = await measureDetection(fleet, FAULTY_TARGET, DETECTION_LIMIT_MS)
      })
      assertGuarantees(outcome)
      assert.equal(outcome.ejected.filter(target => target !== FAULTY_TARGET), [])
      assert.ok(detectionMs !== undefined, `${FAULTY_TARGET} still received work after ${DETECTION_LIMIT_MS} ms`)
    })
  })
}

// Guards against requests that wait until their deadline on silent connections of a target that works on new connections.
grayFailures('silent connections fail no idempotent request, and each of them loses at most one request', async () => {
  await withFleet(VMS, async fleet => {
    const outcome = await runUnderLoad(fleet, LOAD_LIMIT_MS, async () => {
      await sleep(FAULT_AFTER_MS)
      await fleet.setTargetFault(FAULTY_TARGET, { kind: 'silent' })
      await sleep(SILENT_MS)
    }, LONG_TIME_LIMITS)
    assertGuarantees(outcome)
    assert.equal(outcome.ejected.filter(target => target !== FAULTY_TARGET), [])
    assert.equal(unansweredOutcomes(outcome, true), [])
    const { swallowed } = await fleet.tally(FAULTY_TARGET)
    const slots = fleet.layout.targets.holds.find(({ id }) => id === FAULTY_TARGET)?.slots ?? 0
    assert.ok(swallowed > 0, 'the fault affected no request')
    // A VM has at most one request per slot of the target in flight. Its other connections are closed with the first silent one.
    assert.ok(swallowed <= VMS * slots, `${swallowed} requests on silent connections`)
  }, LONG_TIME_LIMITS)
})

async function sendPoison (fleet: RunningFleet, vm: number): Promise<string> {
  const endpoint = fleet.layout.vms[vm % fleet.layout.vms.length]?.callers
  const response = await fetch(`http://${endpoint?.address}:${endpoint?.port}/holds/${POISON}`)
  await response.arrayBuffer()
  return response.headers.get('camphorbay-kind') ?? String(response.status)
}

// Guards against a request that crashes one target after the other while its caller retries it through other VMs.
grayFailures('a request that crashes targets is refused by every VM within seconds', async () => {
  await withFleet(VMS, async fleet => {
    const ids = fleet.layout.targets.holds.map(target => target.id)
    await Promise.all(ids.map(async id => await fleet.setTargetFault(id, { kind: 'crash-on', text: POISON, downMs: 1000, exit: false })))
    const startedAt = performance.now()
    const kinds: string[] = []
    while (!kinds.slice(-3).every(kind => kind === 'request-quarantined') || kinds.length < 3) {
      assert.ok(performance.now() - startedAt < QUARANTINE_LIMIT_MS, kinds.join(' '))
      kinds.push(await sendPoison(fleet, kinds.length))
      await sleep(100)
    }
    const tallies = await Promise.all(ids.map(async id => await fleet.tally(id)))
    const crashes = tallies.reduce((sum, tally) => sum + tally.crashes, 0)
    assert.ok(crashes <= 3, `${crashes} crashes; ${kinds.join(' ')}`)
  })
})

grayFailures.run()
