/**
 * Versions of the store, ordered across its eras.
 *
 * A store that was restored from a copy counts on from an older row version, so that it gives out the same numbers again
 * for other content, and states that by a higher era. A version of the store is both in one number: every version of a
 * later era is greater than all versions of earlier ones, so that a plain comparison is right across eras. Row versions
 * alone exist only in the client of the store.
 */

/** An era and a row version. Without any version yet, 0. */
export type StoreVersion = number

/** Row versions are below this. */
const ROW_VERSIONS = 2 ** 40

/** Highest era with which all versions are exact numbers. */
export const MAX_ERA = 4095

/**
 * Creates a version; undefined if the era or the row version is out of range.
 *
 * @example
 * createStoreVersion(0, 530) // 530
 * createStoreVersion(1, 12) // greater than every version of era 0
 */
export function createStoreVersion (era: number, rowVersion: number): StoreVersion | undefined {
  const isValid = Number.isInteger(era) && era >= 0 && era <= MAX_ERA && Number.isInteger(rowVersion) && rowVersion >= 0 && rowVersion < ROW_VERSIONS
  return isValid ? era * ROW_VERSIONS + rowVersion : undefined
}

/**
 * The era of a version.
 *
 * @example
 * eraOf(530) // 0
 */
export function eraOf (version: StoreVersion): number {
  return Math.floor(version / ROW_VERSIONS)
}

/**
 * The number that the store itself uses for a version within its era.
 *
 * @example
 * rowVersionOf(530) // 530
 */
export function rowVersionOf (version: StoreVersion): number {
  return version % ROW_VERSIONS
}
