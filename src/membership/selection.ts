/** Selects the entries of a roster that heartbeats to a peer include. */

/** Entries of a roster by index. Entries that the bits do not cover, such as new ones, are selected. */
export interface Selection {
  /** 0 for the initial selection of all entries; otherwise it distinguishes the latest selections of a link. */
  readonly number: number
  readonly bits: Uint8Array
  /** The selected entries that the bits cover, in order. */
  readonly indexes: readonly number[]
}

/** The initial selection of a roster: all entries. */
export const FULL_SELECTION: Selection = { number: 0, bits: new Uint8Array(0), indexes: [] }

/** Maximum number of a selection; the next one has the number 1 again. */
const MAX_NUMBER = 255

/** Encodings of a change: all bits, or the indexes of the bits that differ, each in two bytes. */
const ENCODING_BITS = 0
const ENCODING_INDEXES = 1
const HEADER_BYTES = 3
const ALL_SELECTED_BYTE = 0xff

/** Maximum size of a change: all bits of the largest roster. Indexes are used only if they take fewer bytes. */
export const CHANGE_LIMIT_BYTES = HEADER_BYTES + 32_768 / 8

/** Returns the number of the next selection. */
export const nextNumber = (number: number): number => number % MAX_NUMBER + 1

/** Creates bits that cover `count` entries and select all of them. */
export const allBits = (count: number): Uint8Array => new Uint8Array(Math.ceil(count / 8)).fill(ALL_SELECTED_BYTE)

/** Deselects an entry that the bits cover. */
export function deselect (bits: Uint8Array, index: number): void {
  bits[index >> 3] = (bits[index >> 3] ?? 0) & ~(1 << (index & 7))
}

/** Whether the bits select an entry. */
export function isSelected (bits: Uint8Array, index: number): boolean {
  return ((bits[index >> 3] ?? ALL_SELECTED_BYTE) & (1 << (index & 7))) !== 0
}

/** Creates a selection. */
export function createSelection (number: number, bits: Uint8Array): Selection {
  const indexes: number[] = []
  for (let index = 0; index < 8 * bits.length; index++) if (isSelected(bits, index)) indexes.push(index)
  return { number, bits, indexes }
}

/** Visits the selected entries of a roster with `count` entries in order. */
export function forEachSelected ({ bits, indexes }: Selection, count: number, visit: (index: number) => void): void {
  for (const index of indexes) if (index < count) visit(index)
  for (let index = 8 * bits.length; index < count; index++) visit(index)
}

/** Encodes the change from the bits of the previous selection to `bits`, which must not be shorter. */
export function encodeChange (previous: Uint8Array, bits: Uint8Array): Uint8Array {
  const changed: number[] = []
  for (let index = 0; index < 8 * bits.length; index++) {
    if (isSelected(previous, index) !== isSelected(bits, index)) changed.push(index)
  }
  const isShort = 2 * changed.length < bits.length
  const header = [isShort ? ENCODING_INDEXES : ENCODING_BITS, bits.length & 0xff, bits.length >> 8]
  return Uint8Array.from([...header, ...isShort ? changed.flatMap(index => [index & 0xff, index >> 8]) : bits])
}

/** Applies the result of `encodeChange`; undefined if the change does not match the previous selection. */
export function applyChange (previous: Uint8Array, change: Uint8Array): Uint8Array | undefined {
  const [encoding, low = 0, high = 0] = change
  const length = low + (high << 8)
  const payload = change.subarray(HEADER_BYTES)
  if (encoding === ENCODING_BITS) return payload.length === length ? Uint8Array.from(payload) : undefined
  if (encoding !== ENCODING_INDEXES || length < previous.length || payload.length % 2 !== 0) return undefined
  const bits = new Uint8Array(length).fill(ALL_SELECTED_BYTE)
  bits.set(previous)
  for (let i = 0; i < payload.length; i += 2) {
    const index = (payload[i] ?? 0) + ((payload[i + 1] ?? 0) << 8)
    if (index >= 8 * length) return undefined
    bits[index >> 3] = (bits[index >> 3] ?? 0) ^ (1 << (index & 7))
  }
  return bits
}
