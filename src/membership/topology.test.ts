import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { decodeLiveness, encodeLiveness } from './liveness.js'
import { neighbours, rankVMs } from './index.js'

const topology = suite('topology')

function namesOf (size: number): readonly string[] {
  return Array.from({ length: size }, (_, index) => `entry-${index + 1}`)
}

/** Maximum distance of a VM to any other, in links. */
function eccentricity (start: string, names: readonly string[]): number {
  const distances = new Map([[start, 0]])
  for (const [name, distance] of distances) {
    for (const next of neighbours(name, names)) if (!distances.has(next)) distances.set(next, distance + 1)
  }
  assert.is(distances.size, names.length, 'the graph is not connected')
  return Math.max(...distances.values())
}

interface Case {
  readonly size: number
  readonly degree: number
  readonly diameter: number
}

// Guards against a graph with too many links, or with paths so long that heartbeats arrive late.
const cases: readonly Case[] = [
  { size: 1, degree: 0, diameter: 0 },
  { size: 2, degree: 1, diameter: 1 },
  { size: 3, degree: 2, diameter: 1 },
  { size: 6, degree: 4, diameter: 2 },
  { size: 12, degree: 8, diameter: 2 },
  { size: 48, degree: 12, diameter: 3 }
]

for (const { size, degree, diameter } of cases) {
  topology(`${size} VMs have at most ${degree} links each and paths of at most ${diameter}`, () => {
    const names = namesOf(size)
    for (const name of names) {
      const near = neighbours(name, names)
      assert.ok(near.length <= degree, `${name} has ${near.length}`)
      for (const other of near) assert.ok(neighbours(other, names).includes(name), 'not symmetric')
    }
    assert.ok(eccentricity('entry-1', names) <= diameter)
  })
}

topology('the rank for a key is the same in any order of the names and changes for another key', () => {
  // Guards against VMs that disagree about which of them poll the platform.
  const names = namesOf(48)
  assert.equal(rankVMs('config/head', names), rankVMs('config/head', [...names].reverse()))
  assert.not.equal(rankVMs('config/head', names), rankVMs('other', names))
})

topology('every VM ranks first about equally often', () => {
  const names = namesOf(12)
  const firsts = new Map<string, number>()
  for (let key = 0; key < 12_000; key++) {
    const [first = ''] = rankVMs(`key-${key}`, names)
    firsts.set(first, (firsts.get(first) ?? 0) + 1)
  }
  for (const name of names) assert.ok(Math.abs((firsts.get(name) ?? 0) - 1000) < 200, `${name}: ${firsts.get(name)}`)
})

topology('an encoded age is never understated', () => {
  // Guards against a VM that counts as in contact for too long.
  for (let ageMs = 0; ageMs < 10_000; ageMs += 7) {
    for (const isEstablished of [true, false]) {
      const liveness = decodeLiveness(encodeLiveness({ ageMs, isEstablished }))
      assert.ok(liveness.ageMs >= ageMs)
      assert.ok(liveness.ageMs - ageMs < 50 || ageMs > 6300)
      assert.is(liveness.isEstablished, isEstablished)
    }
  }
})

topology.run()
