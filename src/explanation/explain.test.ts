import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { explain, parseLines, type Cause } from './index.js'

const test = suite('explanation of log lines')

let count = 0
/** A line, each one ms after the one before. */
function line (vm: string, event: string, fields: Readonly<Record<string, unknown>> = {}): string {
  return JSON.stringify({ time: new Date(Date.UTC(2026, 0, 1) + count++).toISOString(), level: 'info', event, vm, ...fields })
}

const refused = (kind: string, detail: string, more: object = {}): string => line('vm-0', 'request.refused', { requestId: 'r', kind, detail, ...more })
const attempt = (result: string, vm = 'vm-0', requestId = 'r'): string =>
  line(vm, 'attempt.failed', { requestId, target: 't-1', result, afterMs: 5, provenAgeMs: 20 })

interface Case {
  readonly name: string
  readonly lines: readonly string[]
  readonly cause: Cause | undefined
  readonly summary?: RegExp
  /** Events of the chain. */
  readonly chain?: string
}

const cases: readonly Case[] = [
  { name: 'no line of the request', lines: [line('vm-0', 'vm.ready')], cause: undefined },
  { name: 'no target', lines: [refused('no-target', 'the service has no target')], cause: 'no-target', summary: /no target/ },
  { name: 'a queue that is too long', lines: [refused('overloaded', '9 requests wait, which takes about 900 ms')], cause: 'overload', summary: /9 requests/ },
  {
    name: 'a verdict of another VM, followed to the attempt that it judged by',
    lines: [
      attempt('failed', 'vm-1', 'other'),
      line('vm-1', 'target.suspect', { target: 't-1', reason: 'failed', requestId: 'other' }),
      line('vm-0', 'verdict.heard', { target: 't-1', from: 'vm-1', failed: true }),
      refused('overloaded', 'all 1 targets failed lately, and the next one is tried in 300 ms')
    ],
    cause: 'targets-suspect',
    summary: /vm-1 saw/,
    chain: 'attempt.failed target.suspect verdict.heard request.refused'
  },
  {
    name: 'a verdict that was taken back is no cause',
    lines: [
      line('vm-0', 'verdict.heard', { target: 't-1', from: 'vm-1', failed: true }),
      line('vm-0', 'verdict.heard', { target: 't-1', from: 'vm-1', failed: false }),
      refused('overloaded', '4 requests wait, which takes about 400 ms')
    ],
    cause: 'overload',
    chain: 'request.refused'
  },
  { name: 'a silent path', lines: [attempt('silent'), refused('deadline-exceeded', 'no answer before the deadline')], cause: 'path-failed', summary: /path from vm-0/ },
  {
    name: 'a silent target that others doubt too',
    lines: [attempt('silent', 'vm-1', 'other'), attempt('silent'), refused('deadline-exceeded', 'no answer before the deadline')],
    cause: 'target-failed',
    summary: /1 lines of other VMs/
  },
  { name: 'a failed answer', lines: [attempt('failed'), line('vm-0', 'request.answered', { requestId: 'r', status: 500 })], cause: 'target-failed' },
  { name: 'a caller that left', lines: [attempt('failed'), line('vm-0', 'request.cancelled', { requestId: 'r', durationMs: 80 })], cause: 'caller-left', summary: /80 ms/ },
  {
    name: 'the last loss of the store counts',
    lines: [
      line('vm-0', 'store.lost', { detail: 'older' }),
      line('vm-0', 'store.regained'),
      line('vm-0', 'store.lost', { detail: 'the store answered 503' }),
      refused('configuration-stale', 'no route matches')
    ],
    cause: 'store-away',
    summary: /lost 1 ms before: the store answered 503/,
    chain: 'store.lost request.refused'
  }
]

for (const { name, lines, cause, summary, chain } of cases) {
  test(name, () => {
    const found = explain(parseLines(lines.join('\n')), 'r')
    assert.is(found?.cause, cause)
    if (summary !== undefined) assert.match(found?.summary ?? '', summary)
    if (chain !== undefined) assert.is(found?.chain.map(({ event }) => event).join(' '), chain)
  })
}

test('lines are ordered by time, and what is no line is left out', () => {
  const [first, second] = [line('vm-0', 'first'), line('vm-1', 'second')]
  const lines = parseLines(`${second}\nno line\n{"broken\n{"no":"event"}\n\nvm-0 | ${first}\n`)
  assert.equal(lines.map(({ event, vm }) => [event, vm]), [['first', 'vm-0'], ['second', 'vm-1']])
})

test.run()
