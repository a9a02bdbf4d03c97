/**
 * Validators for decoded message bodies.
 *
 * Bodies are positional arrays to keep frames small, so an error names the
 * index of the invalid element.
 */
import { err, ok, type Result } from 'neverthrow'

/** Validates a decoded value. The error describes what is wrong with it. */
export type Check<T> = (value: unknown) => Result<T, string>

/** The type of the values that a check accepts. */
export type Checked<C> = C extends Check<infer T> ? T : never

/** Accepts a safe integer from `min` to `max`. */
export function integer (min = 0, max = Number.MAX_SAFE_INTEGER): Check<number> {
  return value => Number.isSafeInteger(value) && (value as number) >= min && (value as number) <= max
    ? ok(value as number)
    : err(`not an integer from ${min} to ${max}`)
}

/** Accepts a string of `minLength` to `maxLength` UTF-16 code units. */
export function text (maxLength: number, minLength = 0): Check<string> {
  return value => typeof value === 'string' && value.length >= minLength && value.length <= maxLength
    ? ok(value)
    : err(`not a string of ${minLength} to ${maxLength} characters`)
}

/** Accepts binary data of `minBytes` to `maxBytes`. */
export function bytes (minBytes: number, maxBytes: number): Check<Uint8Array> {
  return value => value instanceof Uint8Array && value.length >= minBytes && value.length <= maxBytes
    ? ok(value)
    : err(`not binary data of ${minBytes} to ${maxBytes} bytes`)
}

/** Accepts null or a value that `check` accepts. */
export function nullable<T> (check: Check<T>): Check<T | null> {
  return value => value === null ? ok(null) : check(value)
}

/** Accepts an array of at most `maxLength` elements, each accepted by `check`. */
export function list<T> (check: Check<T>, maxLength: number): Check<readonly T[]> {
  return value => {
    if (!Array.isArray(value) || value.length > maxLength) return err(`not an array of at most ${maxLength} elements`)
    const checked: T[] = []
    for (const [index, element] of value.entries()) {
      const result = check(element)
      if (result.isErr()) return err(`[${index}]: ${result.error}`)
      checked.push(result.value)
    }
    return ok(checked)
  }
}

/**
 * Accepts an array whose elements pass the checks at the same positions.
 *
 * @example
 * tuple(integer(), text(64))([7, 'entry-1']) // ok([7, 'entry-1'])
 * tuple(integer(), text(64))([7])            // err('not an array of 2 elements')
 */
export function tuple<C extends ReadonlyArray<Check<unknown>>> (
  ...checks: C
): Check<{ readonly [K in keyof C]: Checked<C[K]> }> {
  return value => {
    if (!Array.isArray(value) || value.length !== checks.length) return err(`not an array of ${checks.length} elements`)
    for (const [index, check] of checks.entries()) {
      const result = check(value[index])
      if (result.isErr()) return err(`[${index}]: ${result.error}`)
    }
    return ok(value as unknown as { readonly [K in keyof C]: Checked<C[K]> })
  }
}

/** Whether a value is a plain object, for example a decoded map. */
export function isRecord (value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value) && !(value instanceof Uint8Array)
}
