/** Two or three faults during one request; `faults.test.ts` has the single faults. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { REQUESTS, row, runCell, type Row, type InjectedFault } from './fault-cell.fixture.js'
import type { Fault, Step } from './faulty-target.fixture.js'

interface Case {
  readonly injectedFaults: readonly InjectedFault[]
  readonly expected: Row
}

const at = (fault: Fault, step: Step): InjectedFault => ({ fault, step })

const SERVED = row('200, ran 1', '200, ran 1', 'finished')
/** The first target may have run the request, so a non-idempotent request is not retried. */
const LOST_UNRUN = 'target-failed may-have-run, ran 0'
const LOST = 'target-failed may-have-run, ran 1'

const cases: readonly Case[] = [
  // Nothing reached a target, or the target states that it did not run the request: every request is retried.
  { injectedFaults: [at('kill', 'before connect'), at('kill', 'before connect')], expected: SERVED },
  { injectedFaults: [at('refused', 'before connect'), at('shed', 'sent')], expected: SERVED },
  { injectedFaults: [at('shed', 'sent'), at('shed', 'sent')], expected: SERVED },
  { injectedFaults: [at('reset', 'before connect'), at('shed', 'sent')], expected: SERVED },
  // The first target did not run the request, so the second one determines the outcome.
  { injectedFaults: [at('refused', 'before connect'), at('kill', 'sent')], expected: row('200, ran 2', LOST, 'open') },
  { injectedFaults: [at('shed', 'sent'), at('kill', 'sent')], expected: row('200, ran 2', LOST, 'open') },
  { injectedFaults: [at('shed', 'sent'), at('truncated', 'half answered')], expected: row('cut, ran 1', 'cut, ran 1', 'open') },
  { injectedFaults: [at('refused', 'before connect'), at('500', 'sent')], expected: row('200, ran 2', '500, ran 1', 'finished') },
  { injectedFaults: [at('shed', 'sent'), at('silent', 'sent')], expected: row('deadline-exceeded may-have-run, ran 1', 'deadline-exceeded may-have-run, ran 1', 'open') },
  // The first target may have run the request, so only an idempotent request is retried.
  { injectedFaults: [at('kill', 'sent'), at('kill', 'sent')], expected: row('200, ran 3', LOST, 'open') },
  { injectedFaults: [at('reset', 'headers sent'), at('reset', 'body half sent')], expected: row('200, ran 1', LOST_UNRUN, 'open') },
  { injectedFaults: [at('kill', 'connected'), at('shed', 'sent')], expected: row('200, ran 1', LOST_UNRUN, 'open') },
  { injectedFaults: [at('500', 'sent'), at('500', 'sent')], expected: row('200, ran 3', '500, ran 1', 'finished') },
  { injectedFaults: [at('500', 'sent'), at('kill', 'sent')], expected: row('200, ran 3', '500, ran 1', 'finished') },
  { injectedFaults: [at('kill', 'sent'), at('truncated', 'half answered')], expected: row('cut, ran 2', LOST, 'open') },
  { injectedFaults: [at('truncated', 'sent'), at('silent', 'sent')], expected: row('deadline-exceeded may-have-run, ran 2', LOST, 'open') },
  { injectedFaults: [at('kill', 'sent'), at('freeze', 'sent')], expected: row('deadline-exceeded may-have-run, ran 2', LOST, 'open') },
  // A response was started, so a retry is impossible.
  { injectedFaults: [at('kill', 'answer started'), at('shed', 'sent')], expected: row('cut, ran 1', 'cut, ran 1', 'open') },
  { injectedFaults: [at('kill', 'sent'), at('kill', 'sent'), at('kill', 'sent')], expected: row('200, ran 4', LOST, 'open') }
]

function nameOf (injectedFaults: readonly InjectedFault[]): string {
  return injectedFaults.map(({ fault, step }) => `${fault} at "${step}"`).join(', then ')
}

const faults = suite('several faults')

for (const { injectedFaults, expected } of cases) {
  // Guards against a second fault that hides the uncertainty after the first one, so that a request runs twice or is reported as "not run".
  faults(nameOf(injectedFaults), async () => {
    const cells = await Promise.all(REQUESTS.map(request => runCell({ injectedFaults, request, connectionState: 'fresh' })))
    assert.equal(cells, expected)
  })
}

faults.run()
