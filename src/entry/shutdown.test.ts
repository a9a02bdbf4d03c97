/** Which requests a stopping VM forwards. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { closeIntervalMs, isReleasing, refuseLate, type Shutdown } from './shutdown.js'

const test = suite('shutdown')

const SHUTDOWN: Shutdown = { requestedAt: 1000, startedAt: 1000, endsAt: 4000 }
/** A grace period of 10 s, of which the first 2.9 s passed before connections were closed. */
const LONG: Shutdown = { requestedAt: 0, startedAt: 2900, endsAt: 9750 }
/** A grace period of an hour without such a delay. */
const HOUR: Shutdown = { requestedAt: 0, startedAt: 0, endsAt: 3_600_000 }

const cases: ReadonlyArray<readonly [name: string, shutdown: Shutdown | undefined, deadlineAt: number, now: number, kind: string | undefined]> = [
  ['no shutdown', undefined, 9000, 3900, undefined],
  ['the deadline is before the end', SHUTDOWN, 3999, 3900, undefined],
  ['the deadline is the end', SHUTDOWN, 4000, 3900, undefined],
  ['the shutdown has just begun', SHUTDOWN, 9000, 1300, undefined],
  ['a tenth of the shutdown is over', SHUTDOWN, 9000, 1301, 'stopping'],
  ['the shutdown is almost over', SHUTDOWN, 4001, 3900, 'stopping'],
  ['the shutdown is over', SHUTDOWN, 9000, 4100, 'stopping'],
  // Guards against a request that is sent when its caller knew of the stop, and cut off at the end.
  ['the deadline is after the end, 3 s after the request to stop', LONG, 11_000, 3000, 'stopping'],
  ['the deadline is after the end, when connections begin to be closed', LONG, 10_900, 2900, undefined],
  ['the deadline is before the end, 5 s after the request to stop', LONG, 9700, 5000, undefined],
  ['the first 2.9 s of a long shutdown', HOUR, 9_000_000, 2900, undefined],
  ['after the first 2.9 s of a long shutdown', HOUR, 9_000_000, 2901, 'stopping']
]

for (const [name, shutdown, deadlineAt, now, kind] of cases) {
  test(name, () => assert.is(refuseLate(shutdown, deadlineAt, now)?.kind, kind))
}

const intervals: ReadonlyArray<readonly [name: string, now: number, intervalMs: number]> = [
  ['the shutdown has just begun', 1000, 50],
  // Guards against connections that are cut off later than at the end, which leaves the process no time to exit.
  ['responses are released', 3900, 10],
  ['the shutdown is almost over', 3990, 10],
  ['the shutdown ends in less than the interval', 3995, 5],
  ['the shutdown is over', 4100, 0]
]

for (const [name, now, intervalMs] of intervals) {
  test(`idle connections are closed again in ${intervalMs} ms: ${name}`, () => assert.is(closeIntervalMs(SHUTDOWN, now), intervalMs))
}

const releases: ReadonlyArray<readonly [name: string, shutdown: Shutdown, now: number, isExpected: boolean]> = [
  ['before the last 25th', SHUTDOWN, 3879, false],
  ['in the last 25th', SHUTDOWN, 3880, true],
  // Guards against requests that are refused before the last sixth of a short grace period.
  ['a grace period of 2 s, at five sixths of it', { requestedAt: 0, startedAt: 900, endsAt: 1750 }, 1667, false],
  ['a long shutdown, before the last 250 ms', HOUR, HOUR.endsAt - 251, false],
  ['a long shutdown, in the last 250 ms', HOUR, HOUR.endsAt - 250, true]
]

for (const [name, shutdown, now, isExpected] of releases) {
  test(`responses are ${isExpected ? '' : 'not '}released: ${name}`, () => assert.is(isReleasing(shutdown, now), isExpected))
}

test.run()
