/** Release notes in a fleet of real programs: conflicting operators, a VM that misses a note, lost acknowledgements. */
import { setTimeout as sleep } from 'node:timers/promises'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { VM } from '../../src/model/index.js'
import type { RunningFleet } from '../../trial/fleet.js'
import { submitNote } from '../../trial/submit.js'
import { measureNoteInForce } from '../../trial/observer.js'
import { readState, waitUntil } from '../support/fleet-state.js'
import { assertGuarantees, LONG_TIME_LIMITS, runUnderLoad, vmAt, withFleet, withRelayedFleet } from '../support/process-fleet.js'

const NOTE_LIMIT_MS = 8000
const LEAVING_LIMIT_MS = 3000
const LOAD_LIMIT_MS = 60_000
const WITHDRAWN_TARGET = 'holds-2'
/** Enough reads that each usable target would be selected. */
const READS = 60
/** Time for the reads to arrive at the paused VM. Their deadlines start when the VM is resumed. */
const READS_ARRIVE_MS = 500

const notes = suite('release notes of a running fleet')

const withdrawalNote = (target: string): object => ({ id: 'withdraw', base: 1, withdrawn: { targets: [{ service: 'holds', id: target }] } })

interface ExplainedTargets {
  readonly decisions: { readonly targets: ReadonlyArray<{ readonly target: string, readonly thisVM: { readonly baseShare: number } }> }
}

/** Finds a target that the VM may use without an allocation, so that only the note prevents its use. */
async function findUsableTarget (fleet: RunningFleet, vm: VM): Promise<string> {
  const { decisions } = (await fleet.operators(vm, 'GET', '/v1/explain/service/holds'))._unsafeUnwrap() as ExplainedTargets
  const found = decisions.targets.find(({ thisVM }) => thisVM.baseShare > 0)
  assert.ok(found !== undefined, `${vm.name} has base shares`)
  return found?.target ?? ''
}

/** Sends concurrent reads to a VM. A paused VM receives them when it is resumed. */
async function sendReads ({ callers }: VM, count: number): Promise<unknown> {
  const read = async (): Promise<unknown> => await (await fetch(`http://${callers.address}:${callers.port}/holds/1`)).arrayBuffer()
  return await Promise.allSettled(Array.from({ length: count }, read))
}

// Guards against work for a withdrawn target from a VM that was paused while the note was replicated. When
// it is resumed, neither its peers nor the platform deliver the note, so only its expired confirmation stops it.
notes('a paused VM sends no work to a target that was withdrawn meanwhile', async () => {
  await withRelayedFleet(4, async (fleet, relays) => {
    const vm = vmAt(fleet, 2)
    const target = await findUsableTarget(fleet, vm)
    const outcome = await runUnderLoad(fleet, LOAD_LIMIT_MS, async () => {
      await sleep(1000)
      fleet.vms.get(vm.name)?.signal('SIGSTOP')
      // While a link is open, the note would be buffered by the kernel and read before any request.
      const isPausedVMLive = async (): Promise<boolean> => (await readState(fleet, vmAt(fleet, 0))).members.some(member => member.vm === vm.name && member.state === 'live')
      await waitUntil('loss of contact', NOTE_LIMIT_MS, async () => !await isPausedVMLive())
      const submittedAt = performance.now()
      const revision = await submitNote(fleet, withdrawalNote(target))
      await Promise.all([fleet.markTargetLeaving(target), fleet.setPlatformFaults({ outage: 'hang' })])
      await sleep(LEAVING_LIMIT_MS + 1000)
      for (const other of fleet.layout.vms) if (other !== vm) relays.cut(other.name, vm.name)
      const reads = sendReads(vm, READS)
      await sleep(READS_ARRIVE_MS)
      fleet.vms.get(vm.name)?.signal('SIGCONT')
      await reads
      relays.heal()
      await fleet.setPlatformFaults({ outage: 'none' })
      const inForceMs = await measureNoteInForce(fleet, revision, submittedAt, 2 * NOTE_LIMIT_MS)
      assert.ok(inForceMs !== undefined, 'the resumed VM receives the note')
    }, LONG_TIME_LIMITS)
    assertGuarantees(outcome)
    const { afterLeaving } = await fleet.tally(target)
    assert.ok(afterLeaving.lastMs <= LEAVING_LIMIT_MS, `work ${afterLeaving.lastMs} ms after the target left`)
  })
})

// Guards against a VM that still uses a target which announced to another VM that it is draining.
notes('a target that announces that it is draining receives no work after 3 s', async () => {
  await withFleet(4, async fleet => {
    const outcome = await runUnderLoad(fleet, LOAD_LIMIT_MS, async () => {
      await sleep(1000)
      await fleet.setTargetFault(WITHDRAWN_TARGET, { kind: 'draining', refuse: false })
      await fleet.markTargetLeaving(WITHDRAWN_TARGET)
      await sleep(2 * LEAVING_LIMIT_MS)
    })
    assertGuarantees(outcome)
    const { afterLeaving } = await fleet.tally(WITHDRAWN_TARGET)
    assert.ok(afterLeaving.count > 0, 'a response announced the drain')
    assert.ok(afterLeaving.lastMs <= LEAVING_LIMIT_MS, `work ${afterLeaving.lastMs} ms after the target left`)
  })
})

// Guards against two conflicting notes that are both reported as accepted.
notes('of two conflicting notes submitted through different VMs, one is accepted and the refusal of the other names it', async () => {
  await withFleet(4, async fleet => {
    const change = (id: string, prefix: string): object => ({
      id, base: 1, changed: { routes: [{ id: 'listing', service: 'listing', class: 'search', pathPrefix: prefix }] }
    })
    const responses = await Promise.all([
      fleet.operators(vmAt(fleet, 1), 'POST', '/v1/notes', change('left', '/left')),
      fleet.operators(vmAt(fleet, 2), 'POST', '/v1/notes', change('right', '/right'))
    ])
    const accepted = responses.filter(response => response.isOk())
    const refused = responses.flatMap(response => response.isErr() ? [response.error] : [])
    assert.is(accepted.length, 1)
    assert.equal(refused.map(error => error.kind), ['note-conflict'])
    const winner = (accepted[0]?._unsafeUnwrap() as { id: string }).id
    assert.match(refused[0]?.detail ?? '', `"${winner}"`)
  })
})

// Guards against a lost acknowledgement that causes a note to be applied twice or to be reported as failed.
notes('a note whose acknowledgement is lost is accepted once and is in force within 8 s', async () => {
  await withFleet(4, async fleet => {
    await fleet.setPlatformFaults({ loseAcknowledgementEvery: 1 })
    const submittedAt = performance.now()
    const revision = await submitNote(fleet, withdrawalNote(WITHDRAWN_TARGET))
    assert.is(await submitNote(fleet, withdrawalNote(WITHDRAWN_TARGET)), revision, 'the second submission returns the revision of the first')
    const inForceMs = await measureNoteInForce(fleet, revision, submittedAt, NOTE_LIMIT_MS)
    assert.ok(inForceMs !== undefined, `not in force within ${NOTE_LIMIT_MS} ms`)
  })
})

notes.run()
