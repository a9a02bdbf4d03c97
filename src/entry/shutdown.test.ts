/** Which requests a stopping VM forwards. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { refuseLate, type Shutdown } from './shutdown.js'

const test = suite('shutdown')

const SHUTDOWN: Shutdown = { startedAt: 1000, endsAt: 4000 }

const cases: ReadonlyArray<readonly [name: string, shutdown: Shutdown | undefined, deadlineAt: number, now: number, kind: string | undefined]> = [
  ['no shutdown', undefined, 9000, 3900, undefined],
  ['the deadline is before the end', SHUTDOWN, 3999, 3900, undefined],
  ['the deadline is the end', SHUTDOWN, 4000, 3900, undefined],
  ['the shutdown has just begun', SHUTDOWN, 9000, 1300, undefined],
  ['a tenth of the shutdown is over', SHUTDOWN, 9000, 1301, 'stopping'],
  ['the shutdown is almost over', SHUTDOWN, 4001, 3900, 'stopping'],
  ['the shutdown is over', SHUTDOWN, 9000, 4100, 'stopping']
]

for (const [name, shutdown, deadlineAt, now, kind] of cases) {
  test(name, () => assert.is(refuseLate(shutdown, deadlineAt, now)?.kind, kind))
}

test.run()
