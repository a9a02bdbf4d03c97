import { request as httpRequest, type Agent } from 'node:http'
import type { Address } from './load-plan.js'

const QUERY_TIMEOUT_MS = 1000

/** Cache of the addresses of a service. */
export interface AddressCache {
  /** Returns the cached addresses, after a refresh if they have expired. */
  readonly get: () => Promise<readonly Address[]>
  /** Replaces the addresses by those from a refusal; if it has no valid addresses, the next `get` refreshes them. */
  readonly replace: (addresses: unknown) => void
  /** Number of successful queries. */
  readonly queries: () => number
}

interface AddressResponse {
  readonly addresses: readonly Address[]
  readonly keepForMs: number
}

function isAddress (value: unknown): value is Address {
  const address = value as Partial<Address> | null
  return typeof address?.address === 'string' && typeof address.port === 'number'
}

const isAddressList = (value: unknown): value is readonly Address[] => Array.isArray(value) && value.length > 0 && value.every(isAddress)

function queryAddresses (contact: Address, path: string, agent: Agent): Promise<AddressResponse | undefined> {
  return new Promise(resolve => {
    const request = httpRequest({ host: contact.address, port: contact.port, path, agent, timeout: QUERY_TIMEOUT_MS }, response => {
      let text = ''
      response.setEncoding('utf8')
      response.on('data', chunk => { text += String(chunk) })
      response.on('error', () => resolve(undefined))
      response.on('end', () => resolve(parseAddressResponse(text)))
    })
    request.on('timeout', () => request.destroy())
    request.on('error', () => resolve(undefined))
    request.end()
  })
}

function parseAddressResponse (text: string): AddressResponse | undefined {
  try {
    const { addresses, keepForMs } = JSON.parse(text) as Partial<AddressResponse>
    return isAddressList(addresses) && typeof keepForMs === 'number' ? { addresses, keepForMs } : undefined
  } catch {
    return undefined
  }
}

/** Creates a cache that queries the contacts in random order until one responds. */
export function createAddressCache (contacts: readonly Address[], path: string, agent: Agent, random: () => number, clock: () => number): AddressCache {
  let cachedAddresses: readonly Address[] = []
  let expiresAt = -Infinity
  let queries = 0
  let pendingRefresh: Promise<void> | undefined

  const refresh = async (): Promise<void> => {
    const shuffledContacts = contacts.map(contact => ({ contact, key: random() })).sort((a, b) => a.key - b.key)
    for (const { contact } of shuffledContacts) {
      const response = await queryAddresses(contact, path, agent)
      if (response === undefined) continue
      queries += 1
      cachedAddresses = response.addresses
      expiresAt = clock() + response.keepForMs
      return
    }
  }
  return {
    queries: () => queries,
    replace: addresses => {
      if (isAddressList(addresses)) cachedAddresses = addresses
      else expiresAt = -Infinity
    },
    get: async () => {
      if (clock() < expiresAt) return cachedAddresses
      // Concurrent callers share one refresh. If it fails, the expired addresses are used.
      pendingRefresh ??= refresh().finally(() => { pendingRefresh = undefined })
      await pendingRefresh
      return cachedAddresses
    }
  }
}
