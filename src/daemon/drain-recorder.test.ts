import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { Configuration, Service, Target } from '../model/index.js'
import { createDrainRecorder, createTargetIndex } from './drain-recorder.js'

const drains = suite('drains of listed targets')

const targetAt = (id: string, address: string): Target => ({ id, address, port: 80, place: 'riga-a', slots: 4, connections: 4 })
const serviceOf = (name: string, targets: readonly Target[]): Service =>
  ({ name, targets, classes: [], floor: 0, preference: 'accuracy', queue: { length: 1, ageMs: 1 } })
const configurationOf = (services: readonly Service[]): Configuration => ({ revision: 1, services, routes: [] })

const SERVICES = [serviceOf('a', [targetAt('a1', '10.0.0.1'), targetAt('a2', '10.0.0.2')]), serviceOf('b', [targetAt('b1', '10.0.0.1')])]

interface Case {
  readonly name: string
  readonly leaving: readonly string[]
  readonly drained: readonly string[]
}

// Each case guards against a leaving target that still receives requests, or a healthy one that is drained.
const cases: readonly Case[] = [
  { name: 'an address of two targets', leaving: ['10.0.0.1'], drained: ['a/a1', 'b/b1'] },
  { name: 'an address of no target', leaving: ['10.0.0.9'], drained: [] },
  { name: 'no address', leaving: [], drained: [] }
]

for (const { name, leaving, drained } of cases) {
  drains(`${name} drains ${drained.length} targets`, () => {
    const recorded: string[] = []
    const recorder = createDrainRecorder(createTargetIndex(() => configurationOf(SERVICES)), (service, target) => recorded.push(`${service}/${target}`) > 0)
    for (let now = 0; now < 50_000; now += 250) recorder.update(new Set(leaving), now)
    assert.equal(recorded, drained, 'once each')
    recorder.update(new Set(leaving), 60_000)
    assert.is(recorded.length, 2 * drained.length, 'renewed before the drain expires')
  })
}

// Guards against a missing drain at a VM that joins the subset, or receives the configuration, after it read the list.
drains('a target is drained once its service is configured and served by this VM', () => {
  let services: readonly Service[] = []
  let isServing = false
  const recorded: string[] = []
  const index = createTargetIndex(() => configurationOf(services))
  const recorder = createDrainRecorder(index, (service, target) => {
    if (isServing) recorded.push(`${service}/${target}`)
    return isServing
  })
  const update = (now: number): void => recorder.update(new Set(['10.0.0.2']), now)
  update(0)
  services = SERVICES
  update(250)
  assert.equal(recorded, [])
  isServing = true
  update(500)
  update(750)
  assert.equal(recorded, ['a/a2'])
})

// Guards against needless work on each tick: the membership compares the set by identity.
drains('the set object is replaced only when an address changes', () => {
  let services: readonly Service[] = SERVICES
  const index = createTargetIndex(() => configurationOf(services))
  const before = index.addresses()
  services = SERVICES.map(service => ({ ...service, floor: 2 }))
  assert.is(index.addresses(), before)
  services = [serviceOf('a', [targetAt('a1', '10.0.0.7')])]
  assert.equal([...index.addresses()], ['10.0.0.7'])
})

drains.run()
