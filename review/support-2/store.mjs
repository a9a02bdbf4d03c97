/** Stand-in for the platform's metadata store: rows, change feeds and transactions as PROTOCOL.md describes them. */
import { createServer } from 'node:http'

const PAGE_ROWS = 500
const TRANSACTION_MS = 3
const ANSWER_MS = 4

/** Starts a store on a free port of a loopback address. */
export async function startStore (address = '127.0.0.1') {
  const rows = new Map()
  const feeds = new Set()
  const sockets = new Set()
  let version = 0
  let fault = 'none'

  const rowId = (table, key) => `${table}\n${key}`

  const write = (table, key, value) => {
    version++
    const row = { table, part: '', key, 'row-version': version }
    rows.set(rowId(table, key), value === undefined ? { ...row, deleted: true } : { ...row, value })
    for (const feed of [...feeds]) if (feed.table === table) feed.respond()
  }

  const send = (response, status, body) => {
    const text = JSON.stringify({ ...body, 'row-version': version, 'server-time-s': performance.now() / 1000 })
    setTimeout(() => response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text), ANSWER_MS)
  }

  const rowsOf = table => [...rows.values()].filter(row => row.table === table)

  const get = (query, response) => {
    const startKey = query.get('start-key') ?? ''
    const limit = Math.min(PAGE_ROWS, Number(query.get('limit') ?? PAGE_ROWS))
    const found = rowsOf(query.get('table')).filter(({ key, deleted }) => key >= startKey && deleted !== true)
      .sort((a, b) => a.key < b.key ? -1 : 1)
    send(response, 200, { rows: found.slice(0, limit), 'has-more': found.length > limit })
  }

  const feed = (query, response) => {
    const table = query.get('table')
    const after = Number(query.get('after') ?? 0)
    const changed = () => rowsOf(table).filter(row => row['row-version'] > after).sort((a, b) => a['row-version'] - b['row-version'])
    const respond = () => {
      clearTimeout(timeout)
      feeds.delete(entry)
      send(response, 200, { rows: changed() })
    }
    const timeout = setTimeout(respond, Number(query.get('wait-ms') ?? 0))
    const entry = { table, respond }
    feeds.add(entry)
    response.on('close', () => {
      clearTimeout(timeout)
      feeds.delete(entry)
    })
    if (changed().length > 0) respond()
  }

  const transact = (request, response) => {
    const chunks = []
    request.on('data', chunk => chunks.push(chunk))
    request.on('end', () => setTimeout(() => {
      const { precondition = [], writes = [], remove = [] } = JSON.parse(Buffer.concat(chunks).toString())
      const versionOf = ({ table, key }) => {
        const row = rows.get(rowId(table, key))
        return row === undefined || row.deleted === true ? 0 : row['row-version']
      }
      if (precondition.some(row => versionOf(row) !== row['row-version'])) return send(response, 412, { rows: [] })
      for (const { table, key, value } of writes) write(table, key, value)
      for (const { table, key } of remove) write(table, key, undefined)
      send(response, 200, {})
    }, TRANSACTION_MS))
  }

  const server = createServer((request, response) => {
    const url = new URL(request.url, 'http://store')
    if (fault === 'silent') return
    if (fault === 'reset') return request.socket.resetAndDestroy()
    if (fault === 'busy') return send(response, 503, {})
    if (url.pathname.endsWith('/rows-get')) return get(url.searchParams, response)
    if (url.pathname.endsWith('/rows-feed')) return feed(url.searchParams, response)
    transact(request, response)
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.on('error', () => {}).on('close', () => sockets.delete(socket))
  })
  await new Promise(resolve => server.listen(0, address, resolve))

  return {
    address,
    port: server.address().port,
    /** Writes a row; returns the time at which the store accepted it. */
    put: (table, key, value) => {
      write(table, key, Buffer.from(JSON.stringify(value)).toString('base64'))
      return performance.now()
    },
    remove: (table, key) => {
      write(table, key, undefined)
      return performance.now()
    },
    setFault: next => {
      fault = next
      if (next !== 'none') for (const socket of sockets) socket.resetAndDestroy()
    },
    close: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

/** A route of the operator's configuration. */
export function route (name, spec) {
  return {
    'resource-kind': 'routes',
    metadata: { name },
    spec: { host: 'a.example', prefix: '/', type: 'safe', 'timeout-s': 2, 'slo-s': 0.8, priority: 1, 'max-attempts': 2, ...spec }
  }
}

/** A service of the operator's configuration. */
export function service (name, spec = {}) {
  return { 'resource-kind': 'services', metadata: { name }, spec: { 'health-path': '/health', 'max-conns': 390, ...spec } }
}

/** A configuration with the given routes and services. */
export function configuration (version, ...resources) {
  const limits = { 'header-bytes': 16384, 'max-body-bytes': 1048576, 'header-timeout-s': 3, 'idle-timeout-s': 15 }
  return { 'config-version': version, resources: [...resources, { 'resource-kind': 'limits', metadata: { name: 'limits' }, spec: limits }] }
}
