/**
 * Bundles the program for the platform's machines into one file. Loading the modules one by one takes
 * about five times the processor time, and a VM that was killed serves that much later.
 */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/main.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Names stay readable in stack traces.
  minifySyntax: true,
  minifyWhitespace: true,
  // Libraries in the older module form load built-in modules through `require`.
  banner: { js: "import { createRequire as createLibraryRequire } from 'node:module'; const require = createLibraryRequire(import.meta.url);" },
  logLevel: 'warning'
})
