import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { findDifference } from '../../tests/support/configuration-invariants.js'
import { sampleConfiguration, sampleNote } from '../../tests/support/sample-notes.js'
import type { Configuration } from '../model/index.js'
import { applyNote } from '../notes/index.js'
import { intersectConfigurations } from './configuration-intersection.js'

const intersection = suite('intersection of configurations')

const SEED = 20_262
const RUNS = 500
const CHOICES = 18

function after (configuration: Configuration, choice: number): Configuration {
  const note = sampleNote(configuration, `note-${choice}`, choice)
  return applyNote(configuration, { revision: configuration.revision + 1, note, acceptedAt: 0, acceptedBy: 'vm-1' })._unsafeUnwrap()
}

const choices = (maxLength: number): fc.Arbitrary<readonly number[]> => fc.array(fc.nat({ max: CHOICES - 1 }), { maxLength })

interface Case {
  readonly name: string
  readonly choices: readonly number[]
  readonly targets: number
  readonly withheldServices: readonly string[]
  readonly withheldRoutes: readonly string[]
}

// The sample has three services with three targets and a route each.
const cases: readonly Case[] = [
  { name: 'no undecided note', choices: [], targets: 9, withheldServices: [], withheldRoutes: [] },
  { name: 'a changed target', choices: [0], targets: 8, withheldServices: [], withheldRoutes: [] },
  { name: 'changed settings of a service', choices: [3], targets: 6, withheldServices: ['holds'], withheldRoutes: [] },
  { name: 'a changed route: both versions are withheld', choices: [6], targets: 9, withheldServices: [], withheldRoutes: ['holds', 'holds'] },
  { name: 'an added target', choices: [9], targets: 9, withheldServices: [], withheldRoutes: [] },
  { name: 'an added service', choices: [12], targets: 9, withheldServices: ['extra'], withheldRoutes: [] },
  { name: 'an added route', choices: [15], targets: 9, withheldServices: [], withheldRoutes: ['extra'] },
  { name: 'two concurrent notes', choices: [0, 4], targets: 5, withheldServices: ['listing'], withheldRoutes: [] }
]

for (const { name, choices, targets, withheldServices, withheldRoutes } of cases) {
  // Guards against an entry that is used although an undecided note changes it, and against more refusals than needed.
  intersection(name, () => {
    const usable = intersectConfigurations(sampleConfiguration, choices.map(choice => after(sampleConfiguration, choice)))
    assert.is(usable.configuration.services.flatMap(service => service.targets).length, targets)
    assert.equal([...usable.withheldServices], withheldServices)
    assert.equal(usable.withheldRoutes.map(({ id }) => id), withheldRoutes)
    assert.is(usable.configuration === sampleConfiguration, choices.length === 0)
  })
}

intersection(`no usable entry differs in any possible configuration (seed ${SEED}, ${RUNS} runs)`, () => {
  fc.assert(fc.property(choices(6), choices(4), (past, undecided) => {
    const current = past.reduce(after, sampleConfiguration)
    const alternatives = undecided.map(choice => after(current, choice))
    const usable = intersectConfigurations(current, alternatives)
    for (const possible of [current, ...alternatives]) assert.is(findDifference(usable, possible), undefined)
    // Alternatives without a change leave everything usable.
    const same = intersectConfigurations(current, alternatives.map(() => ({ ...current, revision: current.revision + 1 })))
    assert.equal(same.configuration, current)
  }), { seed: SEED, numRuns: RUNS })
})

intersection.run()
