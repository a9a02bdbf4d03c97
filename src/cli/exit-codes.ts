/** Exit codes of the command line. */
export const EXIT_CODE = {
  ok: 0,
  /** The fleet refused the operation; the output states the reason. */
  refused: 1,
  /** The command line, a settings file or a note is invalid. */
  invalid: 2,
  /** The VM did not respond. */
  unreachable: 3,
  /** The operation may have taken effect; it can be repeated safely with the same id. */
  unknown: 4
} as const
