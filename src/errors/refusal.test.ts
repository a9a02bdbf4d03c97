import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { toErrorResponse, errorData, refusal, type ErrorKind } from './index.js'

const errors = suite('errors')
const kinds = Object.keys(errorData) as ErrorKind[]

for (const kind of kinds) {
  // Guards against a response without the run state or the request id.
  errors(`the response to ${kind} states its kind, run state and request id`, () => {
    const answer = toErrorResponse(refusal(kind, 'detail'), 'r-1')
    const body = JSON.parse(answer.body) as Record<string, unknown>
    assert.is(answer.headers['camphorbay-kind'], kind)
    assert.is(answer.headers['camphorbay-run'], errorData[kind].run)
    assert.is(body['requestId'], 'r-1')
    assert.is(body['run'], errorData[kind].run)
    assert.is(answer.headers['content-length'], String(Buffer.byteLength(answer.body)))
    assert.is(answer.headers['connection'] === 'close', errorData[kind].close)
  })
}

errors('a refusal after an earlier attempt overrides the run state of the table', () => {
  const answer = toErrorResponse(refusal('overloaded', 'no slot after a retry', { run: 'may-have-run' }), 'r-1')
  assert.is(answer.headers['camphorbay-run'], 'may-have-run')
})

errors('Retry-After is rounded up to whole seconds', () => {
  const answer = toErrorResponse(refusal('overloaded', '', { retryAfterMs: 1 }), 'r-1')
  assert.is(answer.headers['retry-after'], '1')
})

errors.run()
