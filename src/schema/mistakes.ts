/** Converts schema issues to a list of mistakes, each with the path, the value found and what is allowed. */
import { SchemaAST, SchemaIssue } from 'effect'

/** One mistake in a JSON document. */
export interface Mistake {
  /** Path of the member. Example: `added.services[0].targets[1].slots`. */
  readonly path: string
  /** The value found, as truncated JSON. */
  readonly found: string
  /** What is allowed there. */
  readonly allowed: string
}

type Path = readonly PropertyKey[]

/** Maximum length of a value in a mistake. Longer values are truncated to keep the list readable. */
const MAX_FOUND_LENGTH = 80
/** Members whose values must not be written to logs or terminals. */
const SECRET_KEYS: ReadonlySet<PropertyKey> = new Set(['peerKey', 'operatorToken'])
const MISSING_VALUE = 'nothing'

const format = SchemaIssue.makeFormatterDefault()

/** Formats a value as JSON, truncated. */
export function showValue (value: unknown): string {
  if (value === undefined) return MISSING_VALUE
  const text = JSON.stringify(value)
  return text.length <= MAX_FOUND_LENGTH ? text : `${text.slice(0, MAX_FOUND_LENGTH)}…`
}

/**
 * Formats a path.
 *
 * @example
 * showPath(['added', 'services', 0, 'name']) // 'added.services[0].name'
 */
export function showPath (path: Path): string {
  if (path.length === 0) return '(document)'
  return path.reduce<string>((shown, key) => {
    if (typeof key === 'number') return `${shown}[${key}]`
    return shown === '' ? String(key) : `${shown}.${String(key)}`
  }, '')
}

function valueAt (input: unknown, path: Path): unknown {
  return path.reduce<unknown>((value, key) =>
    typeof value === 'object' && value !== null && Object.hasOwn(value, key) ? (value as Record<PropertyKey, unknown>)[key] : undefined, input)
}

function showFound (input: unknown, path: Path): string {
  const value = valueAt(input, path)
  return value !== undefined && path.some(key => SECRET_KEYS.has(key)) ? '(secret)' : showValue(value)
}

/** What an issue expects. Removes the leading "Expected" of the formatter, since the text follows "allowed is". */
function expectedOf (issue: SchemaIssue.Issue): string {
  return format(issue).split('\n')[0]?.replace(/^Expected /, '') ?? ''
}

/** What is expected of a missing member, from the schema of the object that should contain it. */
function expectedForMissing (parent: SchemaAST.AST | undefined, key: PropertyKey | undefined): string {
  if (parent === undefined || !SchemaAST.isObjects(parent)) return 'a value'
  const type = parent.propertySignatures.find(signature => signature.name === key)?.type
  if (type === undefined) return 'a value'
  const checks = type.checks?.flatMap(check => check.annotations?.['expected'] ?? []) ?? []
  return checks.length > 0 ? String(checks.at(-1)) : expectedOf(new SchemaIssue.InvalidType(type))
}

function memberNamesOf (ast: SchemaAST.AST): string {
  return SchemaAST.isObjects(ast) ? ast.propertySignatures.map(signature => String(signature.name)).join(', ') : 'none'
}

/**
 * Lists all mistakes of an issue.
 *
 * @param input the value that was validated
 *
 * @example
 * listMistakes(issue, { id: 7 }) // [{ path: 'id', found: '7', allowed: 'string' }, …]
 */
export function listMistakes (issue: SchemaIssue.Issue, input: unknown): readonly Mistake[] {
  const visit = (current: SchemaIssue.Issue, path: Path, parent: SchemaAST.AST | undefined): readonly Mistake[] => {
    const mistake = (allowed: string): readonly Mistake[] => [{ path: showPath(path), found: showFound(input, path), allowed }]
    switch (current._tag) {
      case 'Pointer': return visit(current.issue, [...path, ...current.path], parent)
      case 'Composite': return current.issues.flatMap(inner => visit(inner, path, current.ast))
      case 'Encoding': return visit(current.issue, path, parent)
      case 'Filter': return mistake(String(current.filter.annotations?.['expected'] ?? expectedOf(current)))
      case 'MissingKey': return mistake(expectedForMissing(parent, path.at(-1)))
      case 'UnexpectedKey': return mistake(`no such member; the members are ${memberNamesOf(current.ast)}`)
      default: return mistake(expectedOf(current))
    }
  }
  return visit(issue, [], undefined)
}
