/** Validation of untrusted JSON, with a list of all mistakes. */
export { check, formatMistake, parseJson } from './check.js'
export { showValue, type Mistake } from './mistakes.js'
export { IPAddress, Name, NonNegative, Port, Positive, WholeNumber, withDefault } from './fields.js'
