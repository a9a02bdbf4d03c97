/** Validation of the heads of targets' responses, before a dialect interprets them. */
import { validateHeaderValue, type IncomingMessage } from 'node:http'

/** Lower statuses are no final responses; HTTP has none below 100. */
const MIN_FINAL_STATUS = 200

/** Visible characters, spaces, tabs, and the bytes from 0x80 (RFC 9112, 4). */
const REASON_PHRASE = /^[\t\x20-\x7e\x80-\xff]*$/

/** Whether Node.js can write all values to the caller. */
function areValuesValid ({ rawHeaders }: IncomingMessage): boolean {
  try {
    for (let index = 0; index + 1 < rawHeaders.length; index += 2) validateHeaderValue(rawHeaders[index] as string, rawHeaders[index + 1] as string)
    return true
  } catch {
    return false
  }
}

/** Whether the transfer coding can be relayed; only `chunked` can. */
function isCodingSupported ({ headers }: IncomingMessage): boolean {
  const coding = headers['transfer-encoding']
  return coding === undefined || coding.trim().toLowerCase() === 'chunked'
}

/**
 * Describes what makes the head of a final response invalid; undefined if it may be relayed.
 *
 * @example
 * describeInvalidHead(targetResponse) // 'the target answered with the invalid status 0'
 */
export function describeInvalidHead (targetResponse: IncomingMessage): string | undefined {
  const { statusCode = 0, statusMessage = '' } = targetResponse
  if (statusCode < MIN_FINAL_STATUS) return `the target answered with the invalid status ${statusCode}`
  if (!REASON_PHRASE.test(statusMessage)) return 'the reason phrase of the response has invalid characters'
  if (!areValuesValid(targetResponse)) return 'a header of the response has invalid characters'
  return isCodingSupported(targetResponse) ? undefined : 'the response has an unsupported transfer coding'
}
