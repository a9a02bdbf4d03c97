/** Reserves loopback networks, so that concurrent fleets on one machine do not use the same addresses. */
import { createServer, type Server } from 'node:net'

/** Range of the networks. The measurements use the networks below and above it. */
const FIRST_NETWORK = 61
const LAST_NETWORK = 191
/** Address of the listener that holds a reservation. No part of a fleet listens on it. */
const RESERVATION_ENDPOINT = { group: 255, port: 7999 }
/** Addresses of the first VM, the first target and the platform. They detect a fleet that runs without a reservation. */
const FLEET_ENDPOINTS = [{ group: 1, port: 8080 }, { group: 2, port: 8000 }, { group: 9, port: 7000 }] as const

function listen (network: number, { group, port }: { readonly group: number, readonly port: number }): Promise<Server | undefined> {
  return new Promise(resolve => {
    const server = createServer(socket => socket.destroy())
    server.unref()
    server.once('error', () => resolve(undefined))
    server.listen(port, `127.${network}.${group}.1`, () => resolve(server))
  })
}

function close (server: Server | undefined): Promise<void> {
  return new Promise(resolve => {
    if (server === undefined) resolve()
    else server.close(() => resolve())
  })
}

async function isFree (network: number): Promise<boolean> {
  const servers = await Promise.all(FLEET_ENDPOINTS.map(endpoint => listen(network, endpoint)))
  await Promise.all(servers.map(close))
  return !servers.includes(undefined)
}

async function reserve (preferred: number): Promise<number> {
  const count = LAST_NETWORK - FIRST_NETWORK + 1
  for (let offset = 0; offset < count; offset++) {
    const network = FIRST_NETWORK + (preferred - FIRST_NETWORK + offset) % count
    const reservation = await listen(network, RESERVATION_ENDPOINT)
    if (reservation === undefined) continue
    if (await isFree(network)) return network
    await close(reservation)
  }
  throw new Error('no free loopback network: every network in the range is in use')
}

let reserved: Promise<number> | undefined

/**
 * Reserves a /16 network in 127.0.0.0/8 until this process ends. Later calls return the same network,
 * because a process runs its fleets one after the other. Without a reservation, a network that is
 * fixed or derived from the process id can collide with that of another run on the same machine.
 *
 * @param preferred network that is tried first; default: derived from the process id
 * @returns the second byte of the addresses
 * @throws Error if all networks are in use
 *
 * @example
 * await reserveNetwork(64) // 64, or the next free network
 */
export function reserveNetwork (preferred = FIRST_NETWORK + process.pid % (LAST_NETWORK - FIRST_NETWORK + 1)): Promise<number> {
  reserved ??= reserve(preferred)
  return reserved
}
