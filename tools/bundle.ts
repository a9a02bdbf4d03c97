/**
 * Bundles the platform program into one file. Loading the modules individually takes about five times
 * the CPU time, which delays the restart of a killed VM.
 */
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/main.ts'],
  outfile: 'target/main.js',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  // Identifiers are not minified, so that stack traces stay readable.
  minifySyntax: true,
  minifyWhitespace: true,
  // Dependencies in CommonJS format load built-in modules with `require`.
  banner: { js: "import { createRequire as createLibraryRequire } from 'node:module'; const require = createLibraryRequire(import.meta.url);" },
  logLevel: 'warning'
})
