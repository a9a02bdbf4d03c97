import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createTrafficSplitter, createRuleTable } from './index.js'
import { sampleRule } from './sample.fixture.js'

const test = suite('rule table')

const table = createRuleTable([
  sampleRule({ name: 'root', prefix: '/' }),
  sampleRule({ name: 'short', prefix: '/a/' }),
  sampleRule({ name: 'long', prefix: '/a/b/' }),
  sampleRule({ name: 'other', host: 'b.example', prefix: '/a/' })
])

const cases: ReadonlyArray<readonly [name: string, host: string, path: string, rule: string | undefined]> = [
  ['the longest prefix wins', 'a.example', '/a/b/c', 'long'],
  ['a prefix matches whole segments only', 'a.example', '/a/bc', 'short'],
  ['a path without the trailing slash does not match the prefix', 'a.example', '/a/b', 'short'],
  ['a prefix matches the path that equals it', 'a.example', '/a/', 'short'],
  ['the root prefix matches all other paths', 'a.example', '/x', 'root'],
  ['the port of the host is ignored', 'a.example:8080', '/a/x', 'short'],
  ['host names are case-insensitive', 'A.Example', '/a/x', 'short'],
  ['rules of another host do not match', 'b.example', '/x', undefined],
  ['an unknown host matches no rule', 'c.example', '/', undefined]
]

for (const [name, host, path, rule] of cases) test(name, () => assert.is(table.find(host, path)?.name, rule))

const shares: ReadonlyArray<readonly [weights: readonly number[], requests: number]> = [
  [[90, 10], 300], [[1, 1, 1], 100], [[50, 0], 40], [[7, 2, 1], 50]
]

for (const [weights, requests] of shares) {
  test(`branches with weights ${weights.join(':')} get their shares of ${requests} requests to within one`, () => {
    const splitter = createTrafficSplitter(() => 0.7)
    const rule = sampleRule({ branches: weights.map((weight, index) => ({ service: `s-${index}`, weight })) })
    const counts = weights.map(() => 0)
    for (let i = 0; i < requests; i++) {
      const index = Number(splitter.chooseService(rule).slice(2))
      counts[index] = (counts[index] ?? 0) + 1
    }
    const total = weights.reduce((sum, weight) => sum + weight, 0)
    for (const [index, weight] of weights.entries()) {
      assert.ok(Math.abs((counts[index] ?? 0) - requests * weight / total) <= 1, `${counts.join(':')}`)
    }
  })
}

test.run()
