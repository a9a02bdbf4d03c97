/** Checks of JSON that comes from outside, with every mistake listed. */
export { check, formatMistake, parseJson } from './check.js'
export { showValue, type Mistake } from './mistakes.js'
export { IPAddress, Name, NonNegative, Port, Positive, WholeNumber, withDefault } from './fields.js'
