import { once } from 'node:events'
import { connect } from 'node:net'
import { ok } from 'neverthrow'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { waitFor } from '../../tests/support/events.js'
import { startMesh } from '../../tests/support/mesh-vm.js'
import type { Channel, Peer, VM } from '../model/index.js'
import { text, type PeerMesh } from './index.js'

const mesh = suite('mesh')

const greeting: Channel<string> = { kind: 'greeting', parse: text(1_000_000) }

// Guards against links that open but deliver no messages, or only those of the dialler.
mesh('messages arrive in both directions with their sender', async () => {
  const received: Array<readonly [string, string]> = []
  const record = (at: string) => (opened: PeerMesh): void =>
    opened.subscribe(greeting, (from: Peer, body) => { received.push([`${from.vm} to ${at}`, body]) })
  let wanted: readonly VM[] = []
  const b = await startMesh('b', () => [], {}, record('b'))
  const a = await startMesh('a', () => wanted, {}, record('a'))
  wanted = [b.vm]
  await waitFor('contact', () => a.mesh.contacts().length === 1 && b.mesh.contacts().length === 1)
  assert.is(a.mesh.send('b', greeting, 'labdien'), true)
  assert.is(b.mesh.send('a', greeting, 'bună ziua'), true)
  assert.is(a.mesh.send('c', greeting, 'nobody'), false)
  await waitFor('messages', () => received.length === 2)
  assert.equal(Object.fromEntries(received), { 'a to b': 'labdien', 'b to a': 'bună ziua' })
  await Promise.all([a.stop(), b.stop()])
})

// Guards against sending a message that is larger than the peer accepts, which would close the link.
mesh('a message above the frame limit is not sent and the link stays open', async () => {
  const b = await startMesh('b', () => [], {}, opened => opened.subscribe(greeting, () => {}))
  const a = await startMesh('a', () => [b.vm])
  await waitFor('contact', () => a.mesh.contacts().length === 1)
  assert.is(a.mesh.send('b', greeting, 'x'.repeat(300_000)), false)
  assert.is(a.mesh.send('b', greeting, 'x'.repeat(200_000)), true)
  assert.ok(a.events.some(({ event }) => event === 'link.message-too-large'))
  assert.is(a.mesh.contacts().length, 1)
  await Promise.all([a.stop(), b.stop()])
})

// Guards against each VM closing the link that the other one keeps.
mesh('two VMs that dial each other at the same time keep contact', async () => {
  let wantedByA: readonly VM[] = []
  let wantedByB: readonly VM[] = []
  const a = await startMesh('a', () => wantedByA)
  const b = await startMesh('b', () => wantedByB)
  // b waits 2 s before it dials, and a wants b from about the same time on.
  wantedByB = [a.vm]
  await new Promise(resolve => setTimeout(resolve, 1900))
  wantedByA = [b.vm]
  await waitFor('contact', () => a.mesh.contacts().length === 1 && b.mesh.contacts().length === 1)
  for (let i = 0; i < 30; i++) {
    assert.is(a.mesh.contacts().length, 1)
    assert.is(b.mesh.contacts().length, 1)
    await new Promise(resolve => setTimeout(resolve, 50))
  }
  await Promise.all([a.stop(), b.stop()])
})

// Guards against a VM that never dials a peer although the peer's own dials fail.
mesh('the VM with the higher name dials after 2 s without a link', async () => {
  const a = await startMesh('a', () => [])
  const startedAt = performance.now()
  const b = await startMesh('b', () => [a.vm])
  await waitFor('contact', () => b.mesh.contacts().length === 1)
  assert.ok(performance.now() - startedAt >= 1900)
  await Promise.all([a.stop(), b.stop()])
})

// Guards against an exception in one module that ends the process or closes the link.
mesh('a handler that throws is logged and the link stays open', async () => {
  const received: string[] = []
  const b = await startMesh('b', () => [], {}, opened => opened.subscribe(greeting, (_from, body) => {
    received.push(body)
    throw new Error('error in the handler')
  }))
  const a = await startMesh('a', () => [b.vm])
  await waitFor('contact', () => a.mesh.contacts().length === 1)
  a.mesh.send('b', greeting, 'one')
  a.mesh.send('b', greeting, 'two')
  await waitFor('messages', () => received.length === 2)
  assert.ok(b.events.some(({ event }) => event === 'peer.handler-failed'))
  await Promise.all([a.stop(), b.stop()])
})

// Guards against filling the log while a listed VM is gone.
mesh('failed dials to a VM are logged three times and dialling continues', async () => {
  const b = await startMesh('b', () => [])
  await b.stop()
  const a = await startMesh('a', () => [b.vm])
  const closings = (): number => a.events.filter(({ event }) => event === 'link.closed').length
  await new Promise(resolve => setTimeout(resolve, 3000))
  assert.is(closings(), 3)
  const again = await startMesh('b', () => [], { self: b.vm })
  await waitFor('contact', () => a.mesh.contacts().length === 1)
  await Promise.all([a.stop(), again.stop()])
})

// Guards against a link that stays in the table although its fiber has ended.
mesh('an attachment that throws closes the link and is logged', async () => {
  const value: Channel<string> = { kind: 'value', parse: parsed => ok(String(parsed)) }
  let faulty = true
  const write = (): string => {
    if (faulty) throw new Error('error in the attachment')
    return 'value'
  }
  const b = await startMesh('b', () => [], {}, opened => opened.attach({ channel: value, write: () => 'b', read: () => {} }))
  const a = await startMesh('a', () => [b.vm], {}, opened => opened.attach({ channel: value, write, read: () => {} }))
  await waitFor('closing', () => a.events.some(({ event, fields }) => event === 'link.closed' && fields['reason'] === 'internal-error'))
  assert.equal(a.mesh.contacts(), [])
  faulty = false
  await waitFor('contact', () => a.mesh.contacts().length === 1 && b.mesh.contacts().length === 1)
  await Promise.all([a.stop(), b.stop()])
})

// Guards against an older incarnation of a VM that replaces the link of its successor.
mesh('a late link of an older incarnation is closed and the newer one stays in use', async () => {
  const b = await startMesh('b', () => [])
  const successor = await startMesh('a', () => [b.vm], { incarnation: '2' })
  await waitFor('contact', () => b.mesh.contacts().length === 1)
  const predecessor = await startMesh('a', () => [b.vm], { incarnation: '1' })
  const isClosed = (): boolean =>
    b.events.some(({ event, fields }) => event === 'link.closed' && fields['reason'] === 'older-incarnation')
  await waitFor('closing', isClosed)
  assert.equal(b.mesh.contacts().map(({ incarnation }) => incarnation), ['2'])
  await Promise.all([b.stop(), successor.stop(), predecessor.stop()])
})

// Guards against attachments that arrive without the time at which they were written.
mesh('an attachment arrives with a write time between the start of the test and its arrival', async () => {
  const value: Channel<string> = { kind: 'value', parse: parsed => ok(String(parsed)) }
  const times: Array<{ readonly writtenAt: number | undefined, readonly now: number }> = []
  const startedAt = performance.now()
  const b = await startMesh('b', () => [], {}, opened => opened.attach({ channel: value, write: () => 'b', read: () => {} }))
  const a = await startMesh('a', () => [b.vm], {}, opened => opened.attach({
    channel: value, write: () => 'a', read: (_from, _body, writtenAt, now) => { times.push({ writtenAt, now }) }
  }))
  await waitFor('heartbeats', () => times.length >= 3)
  for (const { writtenAt, now } of times) {
    if (writtenAt === undefined) continue
    assert.ok(writtenAt >= startedAt && writtenAt <= now)
  }
  assert.ok(times.some(({ writtenAt }) => writtenAt !== undefined))
  const { framesSent, bytesSent, framesReceived, bytesReceived } = a.mesh.traffic()
  assert.ok(framesSent > 0 && bytesSent > 0 && framesReceived > 0 && bytesReceived > 0)
  await Promise.all([a.stop(), b.stop()])
})

/** Limit for this last step of a stop. A stopping VM must be gone by the end of its grace period. */
const STOP_LIMIT_MS = 500

const stalledRequests: ReadonlyArray<readonly [name: string, bytes: string]> = [
  ['sends nothing', ''],
  ['sends part of the upgrade request', 'GET / HTTP/1.1\r\nHost: x\r\n'],
  ['upgrades to a WebSocket and sends no hello', 'GET / HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\nSec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\nSec-WebSocket-Version: 13\r\n\r\n']
]

for (const [name, bytes] of stalledRequests) {
  // Guards against a process that does not exit because a peer that is cut off keeps a connection open.
  mesh(`a VM stops immediately although a peer connects and ${name}`, async () => {
    const a = await startMesh('a', () => [])
    const socket = connect(a.vm.peers.port, a.vm.peers.address)
    await once(socket, 'connect')
    socket.on('error', () => {})
    if (bytes !== '') socket.write(bytes)
    await new Promise(resolve => setTimeout(resolve, 50))
    const startedAt = performance.now()
    const isStopped = await Promise.race([
      a.stop().then(() => true),
      new Promise(resolve => setTimeout(() => resolve(false), STOP_LIMIT_MS))
    ])
    socket.destroy()
    assert.ok(isStopped, `not stopped after ${Math.round(performance.now() - startedAt)} ms`)
  })
}

mesh.run()
