import { Result as Decoded, Schema } from 'effect'
import { err, ok, type Result } from 'neverthrow'
import { listMistakes, type Mistake } from './mistakes.js'

/**
 * Validates a parsed JSON document and fills in its defaults. All mistakes are
 * reported together, and unknown keys are mistakes.
 *
 * @example
 * check(Schema.Struct({ port: Port }), { port: 0, prot: 1 })
 * // err([{ path: 'prot', found: '1', allowed: 'no such member; the members are port' },
 * //      { path: 'port', found: '0', allowed: 'an integer from 1 to 65535' }])
 */
export function check<S extends Schema.ConstraintDecoder<unknown>> (schema: S, document: unknown): Result<S['Type'], readonly Mistake[]> {
  const decoded = Schema.decodeUnknownResult(schema)(document, { errors: 'all', onExcessProperty: 'error' })
  return Decoded.isSuccess(decoded) ? ok(decoded.success) : err(listMistakes(decoded.failure.issue, document))
}

/**
 * Parses JSON text. A syntax error is returned as a mistake of the whole document.
 *
 * @example
 * parseJson('{').isErr() // true
 */
export function parseJson (text: string): Result<unknown, readonly Mistake[]> {
  try {
    return ok(JSON.parse(text) as unknown)
  } catch (error) {
    return err([{ path: '(document)', found: (error as Error).message, allowed: 'JSON' }])
  }
}

/**
 * Formats a mistake as one line.
 *
 * @example
 * formatMistake({ path: 'vm.place', found: '3', allowed: 'a name' })
 * // 'vm.place: found 3, allowed is a name'
 */
export function formatMistake (mistake: Mistake): string {
  return `${mistake.path}: found ${mistake.found}, allowed is ${mistake.allowed}`
}
