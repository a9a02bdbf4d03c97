import neostandard from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    // The factories are generators inside Effect.gen; a generator without a yield is a mistake.
    rules: { 'require-yield': 'error' }
  }
]
