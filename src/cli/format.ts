/** Formats JSON values for human readers. */

type JSONObject = Readonly<Record<string, unknown>>

const INDENT = '  '

function isScalar (value: unknown): boolean {
  return typeof value !== 'object' || value === null
}

function formatScalar (value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value) ?? 'undefined'
}

/** Whether the value is a non-empty list of objects with scalar members only, which is printed as a table. */
function isObjectList (value: unknown): value is readonly JSONObject[] {
  return Array.isArray(value) && value.length > 0 &&
    value.every(row => !isScalar(row) && !Array.isArray(row) && Object.values(row as JSONObject).every(isScalar))
}

/**
 * Formats rows as an aligned table with one column for each member that occurs in any row.
 *
 * @example
 * formatTable([{ vm: 'entry-1', state: 'live' }])
 * // vm       state
 * // entry-1  live
 */
export function formatTable (rows: readonly JSONObject[]): string {
  const columns = [...new Set(rows.flatMap(row => Object.keys(row)))]
  const cells = [columns, ...rows.map(row => columns.map(column => column in row ? formatScalar(row[column]) : ''))]
  const widths = columns.map((_, i) => Math.max(...cells.map(line => line[i]?.length ?? 0)))
  return cells.map(line => line.map((cell, i) => cell.padEnd(widths[i] ?? 0)).join('  ').trimEnd()).join('\n')
}

function indent (text: string): string {
  return text.split('\n').map(line => INDENT + line).join('\n')
}

/**
 * Formats a JSON value as indented `name: value` lines. Lists of flat objects become tables.
 *
 * @example
 * formatValue({ revision: 3, members: [{ vm: 'entry-1' }] })
 */
export function formatValue (value: unknown): string {
  if (isScalar(value)) return formatScalar(value)
  if (isObjectList(value)) return formatTable(value)
  if (Array.isArray(value)) {
    if (value.every(isScalar)) return value.length === 0 ? '(none)' : value.map(formatScalar).join(', ')
    return value.map(item => `- ${indent(formatValue(item)).trimStart()}`).join('\n')
  }
  return Object.entries(value as JSONObject).map(([name, member]) => {
    const text = formatValue(member)
    return isScalar(member) || (Array.isArray(member) && !text.includes('\n')) ? `${name}: ${text}` : `${name}:\n${indent(text)}`
  }).join('\n')
}
