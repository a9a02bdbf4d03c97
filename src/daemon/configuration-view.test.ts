import fc from 'fast-check'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sampleConfiguration, sampleNote } from '../../tests/support/sample-notes.js'
import type { Configuration } from '../model/index.js'
import { applyNote } from '../notes/index.js'
import { createRouteTable } from '../routing/index.js'
import { intersectConfigurations } from '../spread/configuration-intersection.js'
import { createConfigurationView } from './configuration-view.js'

const configurationView = suite('view of an undecided configuration')

const SEED = 20_263
const RUNS = 500
const CHOICES = 18

function after (configuration: Configuration, choice: number): Configuration {
  const note = sampleNote(configuration, `note-${choice}`, choice)
  return applyNote(configuration, { revision: configuration.revision + 1, note, acceptedAt: 0, acceptedBy: 'vm-1' })._unsafeUnwrap()
}

/** Returns the route, the class and the settings of the service without its targets, which only admission uses; or the kind of the refusal. */
function describe (result: ReturnType<ReturnType<typeof createRouteTable>['find']>): unknown {
  return result.match(
    ({ route, service: { targets: _targets, ...settings }, class: found }) => ({ route, settings, class: found }),
    ({ kind }) => kind)
}

const choices = (maxLength: number): fc.Arbitrary<readonly number[]> => fc.array(fc.nat({ max: CHOICES - 1 }), { maxLength })
const paths = ['/holds', '/holds/deep/1', '/listing/deep', '/register', '/register/deep', '/unknown', '/']

// Guards against a request that is routed by a route that an undecided note changes, or that an added route would override.
configurationView(`a request is refused, or routed as in every possible configuration (seed ${SEED}, ${RUNS} runs)`, () => {
  let refused = 0
  let resolved = 0
  fc.assert(fc.property(choices(6), choices(4), fc.constantFrom(...paths), (past, undecided, path) => {
    const current = past.reduce(after, sampleConfiguration)
    const alternatives = undecided.map(choice => after(current, choice))
    const usable = intersectConfigurations(current, alternatives)
    const found = createConfigurationView({ usable: () => usable, current: () => current }).findRoute('any.example', path, 'GET', 0)
    if (found.isErr() && found.error.kind === 'configuration-stale') {
      refused++
      return
    }
    resolved++
    for (const possible of [current, ...alternatives]) {
      assert.equal(describe(found), describe(createRouteTable(possible).find('any.example', path, 'GET')))
    }
  }), { seed: SEED, numRuns: RUNS })
  assert.ok(refused > RUNS / 20 && resolved > RUNS / 5, `${refused} refused, ${resolved} resolved`)
})

configurationView('a service whose settings may change is refused, but stays configured for its queued requests', () => {
  const usable = intersectConfigurations(sampleConfiguration, [after(sampleConfiguration, 3)])
  const holds = createConfigurationView({ usable: () => usable, current: () => sampleConfiguration })
  assert.is(holds.checkWithheld('holds', 0)?.kind, 'configuration-stale')
  assert.is(holds.checkWithheld('holds', 0)?.run, 'not-run')
  assert.is(holds.checkWithheld('listing', 0), undefined)
  assert.equal(holds.admissionConfiguration(0).services.find(({ name }) => name === 'holds')?.targets, [])
  assert.is(holds.findRoute('any.example', '/holds', 'GET', 0)._unsafeUnwrapErr().kind, 'configuration-stale')
})

configurationView.run()
