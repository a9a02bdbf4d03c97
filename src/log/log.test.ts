import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createLog, type Log } from './index.js'

const log = suite('log')

interface Case {
  readonly name: string
  readonly run: (log: Log) => void
  readonly lines: readonly unknown[]
}

const time = '2026-01-01T00:00:00.000Z'

const cases: readonly Case[] = [
  {
    name: 'a line is one JSON object with the event name',
    run: log => log.info('vm.started', { port: 80 }),
    lines: [{ time, level: 'info', event: 'vm.started', vm: 'entry-1', port: 80 }]
  },
  {
    name: 'a line without its own fields has the base fields',
    run: log => log.error('link.closed'),
    lines: [{ time, level: 'error', event: 'link.closed', vm: 'entry-1' }]
  },
  {
    name: 'repeated events are not merged into one line',
    run: log => { for (let i = 0; i < 10; i++) log.warn('queue.full') },
    lines: Array.from({ length: 10 }, () => ({ time, level: 'warn', event: 'queue.full', vm: 'entry-1' }))
  }
]

for (const { name, run, lines } of cases) {
  log(name, () => {
    const written: string[] = []
    run(createLog({ vm: 'entry-1' }, line => written.push(line), () => Date.parse(time)))
    assert.equal(written.map(line => JSON.parse(line)), lines)
  })
}

log.run()
