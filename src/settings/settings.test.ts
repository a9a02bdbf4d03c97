import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { formatMistake } from '../schema/index.js'
import { parseSettings } from './index.js'

const secret = 'x'.repeat(32)
const minimal = {
  vm: {
    name: 'entry-1',
    place: 'riga-a',
    callers: { address: '127.0.0.1', port: 8080 },
    peers: { address: '127.0.0.1', port: 8081 }
  },
  operators: { address: '127.0.0.1', port: 8082 },
  operatorToken: secret,
  peerKey: secret,
  platform: { address: '127.0.0.1', port: 7000 }
}

const settings = suite('settings')

settings('a minimal file is completed with the defaults', () => {
  const parsed = parseSettings(JSON.stringify(minimal))._unsafeUnwrap()
  assert.is(parsed.platform.timeoutMs, 1000)
  assert.is(parsed.limits.headerBytes, 16_384)
  assert.is(parsed.stopLimitMs, 610_000)
  assert.equal(parsed.seeds, [])
})

interface Case {
  readonly name: string
  readonly text: string
  readonly mistakes: readonly RegExp[]
}

const cases: readonly Case[] = [
  { name: 'text that is not JSON', text: '{', mistakes: [/^\(document\): found .*JSON/] },
  { name: 'an array instead of an object', text: '[]', mistakes: [/^\(document\): found \[\], allowed is object/] },
  {
    name: 'an unknown key',
    text: JSON.stringify({ ...minimal, plattform: 1 }),
    mistakes: [/^plattform: found 1, allowed is no such member; the members are vm, operators, /]
  },
  {
    name: 'several mistakes at once',
    text: JSON.stringify({
      ...minimal,
      vm: { ...minimal.vm, name: 'Entry 1', callers: { address: 'localhost', port: 0 } },
      limits: { headerBytes: 1.5 }
    }),
    mistakes: [
      /^vm\.name: found "Entry 1", allowed is a name/,
      /^vm\.callers\.address: found "localhost", allowed is an IP number/,
      /^vm\.callers\.port: found 0, allowed is an integer from 1 to 65535/,
      /^limits\.headerBytes: found 1.5, allowed is/
    ]
  },
  {
    // Guards against printing a secret to a log or terminal.
    name: 'a secret that is too short, without printing it',
    text: JSON.stringify({ ...minimal, peerKey: 'hunter2' }),
    mistakes: [/^peerKey: found \(secret\), allowed is a secret of at least 32 characters$/]
  },
  {
    name: 'a stop limit below the request limit',
    text: JSON.stringify({ ...minimal, stopLimitMs: 10 }),
    mistakes: [/^stopLimitMs: found 10, allowed is at least limits\.requestLimitMs \(600000\)$/]
  },
  {
    name: 'two listeners on one endpoint',
    text: JSON.stringify({ ...minimal, operators: minimal.vm.callers }),
    mistakes: [/^vm\.callers: found 127\.0\.0\.1:8080, allowed is an endpoint other than that of operators$/]
  },
  {
    name: 'a listener for peers on the endpoint for callers',
    text: JSON.stringify({ ...minimal, listenPeers: minimal.vm.callers }),
    mistakes: [/^listenPeers: found 127\.0\.0\.1:8080, allowed is an endpoint other than that of vm\.callers$/]
  },
  {
    name: 'a seed that is listed twice',
    text: JSON.stringify({ ...minimal, seeds: [minimal.vm, minimal.vm] }),
    mistakes: [/^seeds\[1\]\.name: found "entry-1"/]
  },
  {
    name: 'a missing member',
    text: JSON.stringify({ ...minimal, platform: { address: '127.0.0.1' } }),
    mistakes: [/^platform\.port: found nothing/]
  }
]

for (const { name, text, mistakes } of cases) {
  settings(`refuses ${name}`, () => {
    const lines = parseSettings(text)._unsafeUnwrapErr().map(formatMistake)
    assert.is(lines.length, mistakes.length, lines.join('\n'))
    for (const pattern of mistakes) assert.ok(lines.some(line => pattern.test(line)), `${pattern} in\n${lines.join('\n')}`)
  })
}

settings.run()
