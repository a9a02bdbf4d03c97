/**
 * Checks the environment variables of the process. Call it before a socket is opened.
 *
 * @returns an error message, or undefined
 *
 * @example
 * checkEnvironment({ UV_USE_IO_URING: '1' }) // 'UV_USE_IO_URING=1 is set, but …'
 */
export function checkEnvironment (variables: Readonly<Record<string, string | undefined>>): string | undefined {
  const value = variables['UV_USE_IO_URING']
  if (value === undefined || value === '' || value === '0') return undefined
  return `UV_USE_IO_URING=${value} is set, but io_uring is not allowed; unset the variable`
}
