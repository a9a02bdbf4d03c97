/** The generated section of the measurements page. */

const BEGIN_MARKER = '<!-- figures: begin -->'
const END_MARKER = '<!-- figures: end -->'

/**
 * Replaces the text between the two markers.
 *
 * @throws Error if a marker is missing from the page
 */
export function replaceFigures (page: string, figures: string): string {
  const [begin, end] = [page.indexOf(BEGIN_MARKER), page.indexOf(END_MARKER)]
  if (begin < 0 || end < begin) throw new Error(`the page needs the lines "${BEGIN_MARKER}" and "${END_MARKER}"`)
  return `${page.slice(0, begin + BEGIN_MARKER.length)}\n\n${figures}\n\n${page.slice(end)}`
}
