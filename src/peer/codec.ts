/** Message encoding with msgpack. */
import { Packr } from 'msgpackr'
import { err, ok, type Result } from 'neverthrow'

// Records are disabled because both ends would have to share their dictionaries as state.
// Undefined members are omitted, as in JSON, so that a decoded body equals the sent one.
const packr = new Packr({ useRecords: false, int64AsType: 'number', skipValues: [undefined] } as ConstructorParameters<typeof Packr>[0])

/** Encodes a value as msgpack. */
export function encode (value: unknown): Uint8Array {
  return packr.pack(value)
}

/** Decodes a msgpack value. The error is the decoder's message. */
export function decode (data: Uint8Array): Result<unknown, string> {
  try {
    return ok(packr.unpack(data))
  } catch (error) {
    return err(error instanceof Error ? error.message : String(error))
  }
}
