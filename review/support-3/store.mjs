/** A stand-in for the platform's table store, one listener for each VM so that each path can be disturbed alone. */
import http from 'node:http'

/** Creates the store. `rows` is `table\nkey` -> row. All listeners share the rows. */
export function createStore () {
  const rows = new Map()
  const removed = new Map()
  const waiting = new Set()
  const servers = []
  let version = 1
  const startedAt = performance.now()

  const wakeAll = () => { for (const wake of [...waiting]) wake() }

  const put = (table, key, value) => {
    version++
    const id = `${table}\n${key}`
    removed.delete(id)
    rows.set(id, { table, part: '', key, value: Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)).toString('base64'), 'row-version': version })
    wakeAll()
    return version
  }

  const remove = (table, key) => {
    version++
    const id = `${table}\n${key}`
    if (!rows.delete(id)) return version
    removed.set(id, { table, part: '', key, deleted: true, 'row-version': version })
    wakeAll()
    return version
  }

  const status = extra => ({ ...extra, 'row-version': version, 'server-time-s': (performance.now() - startedAt) / 1000 })
  const send = (response, code, value) => {
    const body = JSON.stringify(value)
    response.writeHead(code, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) })
    response.end(body)
  }

  const changedRows = (table, after) => [...rows.values(), ...removed.values()]
    .filter(row => row.table === table && row['row-version'] > after)
    .sort((a, b) => a['row-version'] - b['row-version'])

  const feed = (request, response, query) => {
    const table = query.get('table')
    const after = Number(query.get('after'))
    const answer = () => {
      const changed = changedRows(table, after)
      if (changed.length === 0) return false
      send(response, 200, status({ rows: changed }))
      return true
    }
    if (answer()) return
    const finish = () => {
      waiting.delete(wake)
      clearTimeout(timeout)
    }
    const wake = () => { if (answer()) finish() }
    const timeout = setTimeout(() => {
      finish()
      send(response, 200, status({ rows: [] }))
    }, Number(query.get('wait-ms') ?? 0))
    waiting.add(wake)
    response.on('close', finish)
  }

  const transact = async (request, response) => {
    const chunks = []
    for await (const chunk of request) chunks.push(chunk)
    const { precondition = [], writes = [], remove: removals = [] } = JSON.parse(Buffer.concat(chunks).toString())
    const holds = precondition.every(({ table, key, 'row-version': wanted }) => (rows.get(`${table}\n${key}`)?.['row-version'] ?? 0) === wanted)
    if (!holds) return send(response, 412, status({ rows: [] }))
    for (const { table, key, value } of writes) put(table, key, Buffer.from(value, 'base64').toString())
    for (const { table, key } of removals) remove(table, key)
    send(response, 200, status({}))
  }

  const handle = (request, response) => {
    const url = new URL(request.url, 'http://store')
    const query = url.searchParams
    if (url.pathname === '/camphorbay/rows-tx') return transact(request, response)
    request.resume()
    if (url.pathname === '/camphorbay/rows-feed') return feed(request, response, query)
    if (url.pathname === '/camphorbay/rows-get') {
      const startKey = query.get('start-key') ?? ''
      const found = [...rows.values()].filter(row => row.table === query.get('table') && row.key >= startKey).sort((a, b) => a.key < b.key ? -1 : 1)
      return send(response, 200, status({ rows: found.slice(0, 500), 'has-more': found.length > 500 }))
    }
    send(response, 404, {})
  }

  return {
    put,
    remove,
    version: () => version,
    listen: (address, port) => new Promise(resolve => {
      const server = http.createServer(handle)
      server.keepAliveTimeout = 60_000
      servers.push(server)
      server.listen(port, address, () => resolve(server.address().port))
    }),
    close: () => {
      for (const server of servers) {
        server.close()
        server.closeAllConnections()
      }
    }
  }
}
