/**
 * Encodes the liveness of a VM as one byte: the time since it was last known to
 * be alive, and whether it is established (it has held a confirmed configuration).
 */

/** Unit of the encoded age. Ages are rounded up, so that they are never understated. */
const AGE_UNIT_MS = 50

/** Maximum of the seven bits for the age, which encodes every age of 6.35 s or more. */
const MAX_AGE_UNITS = 0x7f

const ESTABLISHED_BIT = 0x80

/** Liveness of a VM. */
export interface Liveness {
  /** Time since the VM was last known to be alive, in ms; Infinity without recent contact. */
  readonly ageMs: number
  readonly isEstablished: boolean
}

/**
 * Encodes a liveness as one byte.
 *
 * @example
 * encodeLiveness({ ageMs: 120, isEstablished: true }) // 0x83: established, 150 ms
 */
export function encodeLiveness ({ ageMs, isEstablished }: Liveness): number {
  const age = Math.min(MAX_AGE_UNITS, Math.ceil(Math.max(0, ageMs) / AGE_UNIT_MS))
  return isEstablished ? age | ESTABLISHED_BIT : age
}

/** Decodes a byte that `encodeLiveness` returned. */
export function decodeLiveness (byte: number): Liveness {
  const age = byte & MAX_AGE_UNITS
  return {
    ageMs: age === MAX_AGE_UNITS ? Infinity : age * AGE_UNIT_MS,
    isEstablished: (byte & ESTABLISHED_BIT) !== 0
  }
}
