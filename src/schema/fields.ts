import { Effect, Schema } from 'effect'
import { isIP } from 'node:net'

const MAX_PORT = 65_535

/** IPv4 or IPv6 number. The fleet resolves no names. */
export const IPAddress = Schema.String.check(
  Schema.makeFilter(text => isIP(text) !== 0, { expected: 'an IP number such as "10.1.0.7"' })
)

/** Names appear in URLs, metric labels and table keys, so they are limited to safe characters. */
export const Name = Schema.String.check(
  Schema.isPattern(/^[a-z0-9][a-z0-9-]{0,62}$/, {
    expected: 'a name of 1 to 63 lower-case letters, digits and "-" that starts with a letter or digit'
  })
)

/**
 * A whole number within bounds, both included.
 *
 * @param unit completes the message, for example `ms`
 */
export function WholeNumber (minimum: number, maximum: number, unit?: string): typeof Schema.Int {
  const range = `an integer from ${minimum} to ${maximum}`
  return Schema.Int.check(Schema.isBetween({ minimum, maximum }, { expected: unit === undefined ? range : `${range} (${unit})` }))
}

/** A TCP port. */
export const Port = WholeNumber(1, MAX_PORT)

/** A whole number from 1 to `maximum`. */
export function Positive (maximum: number, unit?: string): typeof Schema.Int {
  return WholeNumber(1, maximum, unit)
}

/** A whole number from 0 to `maximum`. */
export function NonNegative (maximum: number, unit?: string): typeof Schema.Int {
  return WholeNumber(0, maximum, unit)
}

/** Makes a member optional, with the value it takes when it is missing. */
export function withDefault<S extends Schema.Top> (schema: S, value: S['Encoded']): Schema.withDecodingDefaultKey<S> {
  return schema.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)))
}
