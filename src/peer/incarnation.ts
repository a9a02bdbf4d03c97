/** Incarnations distinguish a VM from earlier VMs of the same name. */
import { randomBytes } from 'node:crypto'

/** Number of hexadecimal digits of the start time. 48 bits of milliseconds last until the year 10889. */
const TIME_DIGITS = 12
const RANDOM_BYTES = 6

/**
 * Creates an incarnation from the start time and 48 random bits. The
 * incarnation of a later start sorts after that of an earlier one.
 *
 * @param startedAt wall-clock time in ms since 1970
 *
 * @example
 * createIncarnation(Date.now()) // '019c1f2e4a5b-6f0c2a91d4e7'
 */
export function createIncarnation (startedAt: number, random: Uint8Array = randomBytes(RANDOM_BYTES)): string {
  return `${Math.floor(startedAt).toString(16).padStart(TIME_DIGITS, '0')}-${Buffer.from(random).toString('hex')}`
}
