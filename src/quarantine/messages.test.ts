import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { quarantineChannel, quarantineReportChannel } from './index.js'

const messages = suite('quarantine messages')
const POISON = 'aaaaaaaa'

// Guards against messages that grow the table without bound or quarantine a request for longer than 10 min.
const malformed: ReadonlyArray<readonly [string, unknown]> = [
  ['a body that is not an object', 7], ['entries that are not a list', { entries: 1 }], ['no fingerprint', { entries: [{ remainingMs: 1 }] }],
  ['a fingerprint that is not hexadecimal', { entries: [{ fingerprint: '../x', remainingMs: 1 }] }],
  ['a negative time', { entries: [{ fingerprint: POISON, remainingMs: -1 }] }],
  ['a time above 10 min', { entries: [{ fingerprint: POISON, remainingMs: 600_001 }] }],
  ['NaN', { entries: [{ fingerprint: POISON, remainingMs: NaN }] }],
  ['too many entries', { entries: Array.from({ length: 1025 }, () => ({ fingerprint: POISON, remainingMs: 1 })) }]
]
for (const [name, body] of malformed) {
  messages(`a message with ${name} is refused`, () => { assert.ok(quarantineChannel.parse(body).isErr()) })
}

const validReport = { service: 's', fingerprint: POISON, target: 't', result: 'reset', latencyMs: 1, agoMs: 0 }
const malformedReports: ReadonlyArray<readonly [string, unknown]> = [
  ['a body that is not an object', []], ['an empty service', { ...validReport, service: '' }], ['a target name that is too long', { ...validReport, target: 'x'.repeat(257) }],
  ['an unknown result', { ...validReport, result: 'shed' }], ['a time in the future', { ...validReport, agoMs: -1 }],
  ['an infinite latency', { ...validReport, latencyMs: Infinity }]
]
for (const [name, body] of malformedReports) {
  messages(`a report with ${name} is refused`, () => {
    assert.ok(quarantineReportChannel.parse(body).isErr())
    assert.ok(quarantineReportChannel.parse(validReport).isOk())
  })
}

messages.run()
