import neostandard from 'neostandard'

/** Each byte to a caller, and the end of its connection, go through the one owner of the connection's output. */
const message = 'Use the output of the connection.'
const socketOfRequest = [
  "MemberExpression:matches([object.object.name='incoming'], [object.object.property.name='incoming'])[object.property.name='socket']:not([property.name='remoteAddress'])",
  "MemberExpression:matches([object.object.name='response'], [object.object.property.name='response'])[object.property.name=/^(?:socket|connection)$/]",
  "VariableDeclarator:matches([init.name='incoming'], [init.property.name='incoming']) > ObjectPattern > Property[key.name='socket']"
].map(selector => ({ selector, message }))
const endOfSocket = {
  selector: "CallExpression[callee.object.name='socket'][callee.property.name=/^(?:write|end|destroy|destroySoon|resetAndDestroy)$/]",
  message
}

export default [
  ...neostandard({ ts: true, ignores: ['dist/**', 'target/**', 'node_modules/**'] }),
  {
    // The factories are generators inside Effect.gen; a generator without a yield is a mistake.
    rules: { 'require-yield': 'error' }
  },
  {
    files: ['src/entry/*.ts'],
    ignores: ['**/*.test.ts', '**/*.fixture.ts'],
    rules: { 'no-restricted-syntax': ['error', ...socketOfRequest] }
  },
  {
    files: ['src/entry/connection.ts', 'src/entry/caller-input.ts'],
    rules: { 'no-restricted-syntax': ['error', ...socketOfRequest, endOfSocket] }
  },
  {
    files: ['src/entry/*.ts'],
    ignores: ['src/entry/caller-output.ts', 'src/entry/raw-refusal.ts', 'src/entry/entry.ts'],
    rules: {
      'no-restricted-imports': ['error', {
        patterns: [{ group: ['./raw-refusal.js', './lingering-close.js'], message }]
      }]
    }
  }
]
