import { Effect, Schema } from 'effect'
import { isIP } from 'node:net'

const MAX_PORT = 65_535

/** IPv4 or IPv6 address. Host names are not accepted because the fleet does not resolve names. */
export const IPAddress = Schema.String.check(
  Schema.makeFilter(text => isIP(text) !== 0, { expected: 'an IP number such as "10.1.0.7"' })
)

/** A name. Names are used in URLs, metric labels and table keys, so only characters that are safe there are allowed. */
export const Name = Schema.String.check(
  Schema.isPattern(/^[a-z0-9][a-z0-9-]{0,62}$/, {
    expected: 'a name of 1 to 63 lower-case letters, digits and "-" that starts with a letter or digit'
  })
)

/**
 * An integer from `minimum` to `maximum`, both included.
 *
 * @param unit unit for the error message, for example `ms`
 */
export function WholeNumber (minimum: number, maximum: number, unit?: string): typeof Schema.Int {
  const range = `an integer from ${minimum} to ${maximum}`
  return Schema.Int.check(Schema.isBetween({ minimum, maximum }, { expected: unit === undefined ? range : `${range} (${unit})` }))
}

/** A TCP port. */
export const Port = WholeNumber(1, MAX_PORT)

/** An integer from 1 to `maximum`. */
export function Positive (maximum: number, unit?: string): typeof Schema.Int {
  return WholeNumber(1, maximum, unit)
}

/** An integer from 0 to `maximum`. */
export function NonNegative (maximum: number, unit?: string): typeof Schema.Int {
  return WholeNumber(0, maximum, unit)
}

/** Makes a member optional. If it is missing, it is decoded from `value`. */
export function withDefault<S extends Schema.Top> (schema: S, value: S['Encoded']): Schema.withDecodingDefaultKey<S> {
  return schema.pipe(Schema.withDecodingDefaultKey(Effect.succeed(value)))
}
