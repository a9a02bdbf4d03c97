/**
 * Stand-in of the platform's metadata store, as a separate process: `rows-get`, `rows-feed` and `rows-tx` over HTTP,
 * and the writes of the operator and the targets by messages of the parent process.
 *
 * All rows are in memory; every answer is linearizable, because one process serves all calls in order.
 */
import { createServer } from 'node:http'

const [address, port] = [process.argv[2], Number(process.argv[3])]
const PAGE_SIZE = 500
const ANSWER_MS = 4
/** Longer than any pause of a client in a test, as with the usual keep-alive timeouts of 60 s and more. */
const KEEP_ALIVE_MS = 75_000

const rows = new Map()
const feeds = new Set()
let version = 0

const write = (table, key, value) => {
  version++
  rows.set(`${table}\n${key}`, { table, part: '', key, 'row-version': version, ...(value === undefined ? { deleted: true } : { value }) })
  for (const feed of [...feeds]) if (feed.table === table) feed.answer()
  return version
}

const answer = (response, status, body) => {
  const text = JSON.stringify({ ...body, 'row-version': version, 'server-time-s': performance.now() / 1000 })
  setTimeout(() => {
    response.writeHead(status, { 'content-type': 'application/json' })
    response.end(text)
  }, ANSWER_MS)
}

const rowsOf = table => [...rows.values()].filter(row => row.table === table)

const get = (query, response) => {
  const startKey = query.get('start-key') ?? ''
  const limit = Math.min(PAGE_SIZE, Number(query.get('limit') ?? PAGE_SIZE))
  const found = rowsOf(query.get('table')).filter(row => row.deleted !== true && row.key >= startKey).sort((a, b) => a.key < b.key ? -1 : 1)
  answer(response, 200, { rows: found.slice(0, limit), 'has-more': found.length > limit })
}

const feed = (query, response) => {
  const table = query.get('table')
  const after = Number(query.get('after') ?? 0)
  const changed = () => rowsOf(table).filter(row => row['row-version'] > after).sort((a, b) => a['row-version'] - b['row-version'])
  const entry = {
    table,
    answer: () => {
      clearTimeout(entry.timeout)
      if (feeds.delete(entry)) answer(response, 200, { rows: changed() })
    }
  }
  feeds.add(entry)
  entry.timeout = setTimeout(entry.answer, Number(query.get('wait-ms') ?? 0))
  response.on('close', () => {
    clearTimeout(entry.timeout)
    feeds.delete(entry)
  })
  if (changed().length > 0) entry.answer()
}

const transact = (request, response) => {
  const chunks = []
  request.on('data', chunk => chunks.push(chunk))
  request.on('end', () => {
    const { writes = [], remove = [] } = JSON.parse(Buffer.concat(chunks).toString())
    for (const { table, key, value } of writes) write(table, key, value)
    for (const { table, key } of remove) write(table, key, undefined)
    answer(response, 200, {})
  })
}

const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
  const { pathname, searchParams } = new URL(request.url, 'http://store')
  if (pathname === '/camphorbay/rows-get') return get(searchParams, response)
  if (pathname === '/camphorbay/rows-feed') return feed(searchParams, response)
  if (pathname === '/camphorbay/rows-tx') return transact(request, response)
  answer(response, 404, {})
})
server.listen(port, address, () => process.send({ ready: server.address().port }))

process.on('message', ({ id, table, key, value }) => {
  const encoded = value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString('base64')
  process.send({ id, version: write(table, key, encoded) })
})
process.on('disconnect', () => process.exit(0))
