/** Client of the control API of the stand-ins. */
import { request } from 'node:http'

const CALL_TIMEOUT_MS = 5000

/**
 * Calls a control path with an optional JSON body.
 *
 * @throws Error if the status of the response is not 200
 */
export function callControl (
  endpoint: { readonly address: string, readonly port: number }, method: string, path: string, body?: object
): Promise<unknown> {
  const text = body === undefined ? undefined : JSON.stringify(body)
  return new Promise((resolve, reject) => {
    const outgoing = request({
      host: endpoint.address,
      port: endpoint.port,
      method,
      path,
      timeout: CALL_TIMEOUT_MS,
      headers: text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }
    }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('end', () => {
        const responseText = Buffer.concat(chunks).toString('utf8')
        if (response.statusCode !== 200) return reject(new Error(`${method} ${path}: ${response.statusCode} ${responseText}`))
        resolve(responseText === '' ? undefined : JSON.parse(responseText))
      })
      response.on('error', reject)
    })
    outgoing.on('timeout', () => outgoing.destroy(new Error(`${method} ${path}: no response within ${CALL_TIMEOUT_MS} ms`)))
    outgoing.on('error', reject)
    outgoing.end(text)
  })
}
