/** Retraction of the outcomes of a request that crashes its targets. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createFleet, noDemand, type Fleet } from '../../measure/fleet/fleet.js'
import { createRandom } from '../../measure/random.js'
import type { Configuration, Observation, Result, Target } from '../model/index.js'

const NAMES = ['a', 'b', 'c'] as const
const CRASHED_TARGET = 't1'
const WARM_UP_MS = 5000
const DECISION_MS = 1000

const targets = Array.from({ length: 6 }, (_, i): Target => ({
  id: `t${i + 1}`, address: '127.0.0.1', port: 9000 + i, place: 'riga-a', slots: 4, connections: 400
}))

const configuration: Configuration = {
  revision: 1,
  routes: [],
  services: [{
    name: 'holds',
    targets,
    classes: [{ name: 'read', idempotent: true, deadlineMs: 1000, priority: 0 }],
    floor: 16,
    preference: 'detection',
    queue: { length: 64, ageMs: 500 }
  }]
}

function observationOf (target: string, result: Result): Observation {
  return { service: 'holds', target, class: 'read', result, latencyMs: 10, fingerprint: 'ab' }
}

function observe (fleet: Fleet, target: string, result: Result, count: number): readonly Observation[] {
  const observations = Array.from({ length: count }, () => observationOf(target, result))
  observations.forEach((observation, i) => fleet.observe(NAMES[i % NAMES.length] ?? 'a', observation))
  return observations
}

/** Advances the time while the other targets respond. */
function runFor (fleet: Fleet, ms: number): void {
  for (const until = fleet.now() + ms; fleet.now() < until;) {
    if (fleet.now() % 100 === 0) for (const { id } of targets.slice(1)) observe(fleet, id, 'answered', 3)
    fleet.step()
  }
}

function isEjected (fleet: Fleet): boolean {
  return fleet.vms.some(vm => vm.coordination().shares.ejected('holds', fleet.now()).has(CRASHED_TARGET))
}

const CRASHES = 6

interface Case {
  readonly name: string
  readonly failures: number
  readonly retracted: number
  readonly ejected: boolean
}

const cases: readonly Case[] = [
  { name: 'the target remains ejected without a retraction', failures: 0, retracted: 0, ejected: true },
  { name: 'a retraction of all its resets returns the target to service immediately', failures: 0, retracted: CRASHES, ejected: false },
  { name: 'a target with other failures remains ejected', failures: 6, retracted: CRASHES, ejected: true }
]

const retraction = suite('retraction')

for (const { name, failures, retracted, ejected } of cases) {
  // Guards against a healthy target that remains ejected because of a request that crashes every target.
  retraction(name, () => {
    const fleet = createFleet({ names: NAMES, configuration: () => configuration, demandOf: () => noDemand, random: createRandom(1) })
    runFor(fleet, WARM_UP_MS)
    observe(fleet, CRASHED_TARGET, 'failed', failures)
    const crashes = observe(fleet, CRASHED_TARGET, 'reset', CRASHES)
    runFor(fleet, DECISION_MS)
    assert.ok(isEjected(fleet), 'the crash led to an ejection')
    crashes.slice(0, retracted).forEach((observation, i) => {
      fleet.vms[i % NAMES.length]?.coordination().retract([observation], fleet.now())
    })
    runFor(fleet, DECISION_MS)
    assert.is(isEjected(fleet), ejected)
  })
}

retraction.run()
