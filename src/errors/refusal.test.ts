import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { toErrorResponse, errorData, refusal, type ErrorKind } from './index.js'

const errors = suite('errors')
const kinds = Object.keys(errorData) as ErrorKind[]

for (const kind of kinds) {
  // Guards against a response without the run state or the request id.
  errors(`the response to ${kind} states its kind, run state and request id`, () => {
    const response = toErrorResponse(refusal(kind, 'detail'), 'r-1')
    const body = JSON.parse(response.body) as Record<string, unknown>
    assert.is(response.headers['camphorbay-kind'], kind)
    assert.is(response.headers['camphorbay-run'], errorData[kind].run)
    assert.is(body['requestId'], 'r-1')
    assert.is(body['run'], errorData[kind].run)
    assert.is(response.headers['content-length'], String(Buffer.byteLength(response.body)))
    assert.is(response.headers['connection'] === 'close', errorData[kind].close)
  })
}

errors('a refusal after an earlier attempt overrides the run state of the table', () => {
  const response = toErrorResponse(refusal('overloaded', 'no slot after a retry', { run: 'may-have-run' }), 'r-1')
  assert.is(response.headers['camphorbay-run'], 'may-have-run')
})

errors('Retry-After is rounded up to whole seconds', () => {
  const response = toErrorResponse(refusal('overloaded', '', { retryAfterMs: 1 }), 'r-1')
  assert.is(response.headers['retry-after'], '1')
})

errors.run()
