/** SVG bar chart that compares the design with the baseline. */
import type { Measurement } from './measurement.js'
import { formatNumber } from './table.js'

const WIDTH = 1000
const LABEL_WIDTH = 430
const BAR_WIDTH = 400
const ROW_HEIGHT = 38
const BAR_HEIGHT = 13
const TOP_MARGIN = 50
const FONT_SIZE = 12
const COLOURS = { design: '#1f6f8b', baseline: '#c9a36a' } as const
/** Ratio of the two values of a row from which the row is logarithmic: a linear bar of the smaller value would be hard to see. */
const LOG_RATIO = 20
/** Number of decades that a logarithmic bar covers. */
const LOG_DECADES = 4

const escape = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;')

/** Returns true if the values of a row need a logarithmic scale. */
export function isLogarithmic ({ design, baseline }: Measurement): boolean {
  const [low, high] = [Math.min(design, baseline), Math.max(design, baseline)]
  return low > 0 && high / low >= LOG_RATIO
}

/** Length of a bar, as a fraction of the longest. Each row has its own scale, because the units differ. */
export function barLength (value: number, line: Measurement): number {
  const high = Math.max(line.design, line.baseline)
  if (value <= 0 || high <= 0) return 0
  if (!isLogarithmic(line)) return value / high
  return Math.max(0, 1 + Math.log10(value / high) / LOG_DECADES)
}

function drawRow (line: Measurement, index: number): string {
  const y = TOP_MARGIN + index * ROW_HEIGHT
  const scale = isLogarithmic(line) ? ', log scale' : ''
  const label = `${line.scenario}: ${line.measure} (${line.unit}${scale})`
  const bar = (side: keyof typeof COLOURS, offset: number): string => {
    const width = (barLength(line[side], line) * BAR_WIDTH).toFixed(1)
    const textY = y + offset + BAR_HEIGHT - 2
    return `<rect x="${LABEL_WIDTH}" y="${y + offset}" width="${width}" height="${BAR_HEIGHT}" fill="${COLOURS[side]}"/>` +
      `<text x="${LABEL_WIDTH + Number(width) + 6}" y="${textY}">${formatNumber(line[side])}</text>`
  }
  return `<text x="${LABEL_WIDTH - 8}" y="${y + BAR_HEIGHT + 4}" text-anchor="end">${escape(label)}</text>${bar('design', 0)}${bar('baseline', BAR_HEIGHT + 1)}`
}

/**
 * Draws two bars for each measurement and returns the SVG document.
 *
 * @example
 * writeFileSync('chart.svg', drawChart([{ scenario: 's', measure: 'm', unit: 'ms', design: 1, baseline: 5 }]))
 */
export function drawChart (lines: readonly Measurement[]): string {
  const height = TOP_MARGIN + lines.length * ROW_HEIGHT + 10
  const legend = (['design', 'baseline'] as const).map((side, i) =>
    `<rect x="${LABEL_WIDTH + i * 110}" y="16" width="14" height="14" fill="${COLOURS[side]}"/><text x="${LABEL_WIDTH + i * 110 + 20}" y="28">${side}</text>`)
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${height}" font-family="sans-serif" font-size="${FONT_SIZE}">`,
    `<rect width="${WIDTH}" height="${height}" fill="white"/>`,
    ...legend,
    ...lines.map(drawRow),
    '</svg>',
    ''
  ].join('\n')
}
