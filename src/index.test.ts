import { existsSync, readdirSync } from 'node:fs'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import * as library from './index.js'

const exported = suite('package exports')

// Guards against a package that lacks an export that programs need.
exported('the entry point of the package exports everything needed to start a VM', () => {
  for (const name of ['startDaemon', 'parseSettings', 'createLog', 'checkEnvironment'] as const) assert.type(library[name], 'function', name)
})

// Guards against a feature folder that the export map of the package does not reach. The command line is a program, not a feature.
exported('each feature has an entry point', () => {
  const features = readdirSync('src', { withFileTypes: true }).filter(entry => entry.isDirectory() && entry.name !== 'cli')
  assert.equal(features.map(({ name }) => name).filter(name => !existsSync(`src/${name}/index.ts`)), [])
})

exported.run()
