import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Listing, Rule, Ruleset } from '../catalog/index.js'
import { expectedCores } from './expected-demand.js'

const test = suite('expected demand')

const rule = (name: string, objectiveMs: number, ...services: readonly string[]): Rule => ({
  name, host: 'a', prefix: `/${name}/`, idempotent: true, branches: services.map(service => ({ service, weight: 1 })), maxAttempts: 2, timeoutMs: 2000, objectiveMs, priority: 0
})
const rulesetOf = (...rules: readonly Rule[]): Ruleset => ({
  version: 1, rules, pools: [], limits: { headerBytes: 1, bodyBytes: 1, headerTimeMs: 1, idleTimeMs: 1 }
})
const listings = (service: string, count: number): readonly Listing[] => Array.from({ length: count }, (_, index) => ({
  id: `${service}-${index}`, service, address: '10.0.0.1', port: 1, zone: 'a', slots: 4, draining: false, warmupMs: 0, startedAt: 0
}))

const search = rule('search', 800, 'search')
const cases: ReadonlyArray<readonly [name: string, ruleset: Ruleset, targets: readonly Listing[], cores: number]> = [
  ['no targets, no demand', rulesetOf(search), [], 0],
  ['100 slots that respond in 400 ms run 250 requests/s', rulesetOf(search), listings('search', 25), 0.75],
  ['the demand grows with the targets', rulesetOf(search), listings('search', 250), 7.5],
  ['the objective of a service is the average of its rules', rulesetOf(search, rule('photos', 400, 'search')), listings('search', 25), 1],
  ['a target that states far more slots than the others counts like a large one of them', rulesetOf(search), [...listings('search', 25), { ...listings('search', 1)[0] as Listing, id: 'odd', slots: 10_000 }], 0.87],
  ['targets of a service without rules get no requests', rulesetOf(search), listings('other', 25), 0]
]

for (const [name, ruleset, targets, cores] of cases) {
  test(name, () => assert.is(Number(expectedCores(ruleset, targets).toFixed(6)), cores))
}

test.run()
