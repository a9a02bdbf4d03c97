import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { encode } from '../peer/codec.js'
import { FRAME_LIMIT_BYTES } from '../peer/index.js'
import { NOTE_LIMIT_BYTES, parseNote, type Mistake } from './index.js'

const parse = suite('parseNote')

const target = { id: 't-1', address: '10.0.0.1', port: 80, place: 'riga-a', slots: 4 }
const holds = { name: 'holds', classes: [{ name: 'place-hold' }], floor: 2, preference: 'detection', targets: [target] }
const route = { id: 'r-1', service: 'holds', class: 'place-hold' }

const noteWith = (members: object): string => JSON.stringify({ id: 'n-1', base: 0, ...members })

parse('optional members get their documented defaults', () => {
  const note = parseNote(noteWith({ added: { services: [holds], routes: [route] } }))._unsafeUnwrap()
  assert.equal(note, {
    id: 'n-1',
    base: 0,
    added: {
      services: [{
        name: 'holds',
        classes: [{ name: 'place-hold', idempotent: false, deadlineMs: 30_000, priority: 0 }],
        floor: 2,
        preference: 'detection',
        queue: { length: 64, ageMs: 500 },
        targets: [{ ...target, connections: 400 }]
      }],
      targets: [],
      routes: [{ ...route, pathPrefix: '/' }]
    },
    changed: { services: [], targets: [], routes: [] },
    withdrawn: { services: [], targets: [], routes: [] }
  })
})

interface Case {
  readonly name: string
  readonly text: string
  readonly mistakes: readonly Mistake[]
}

const targetWith = (members: object): string => noteWith({ added: { targets: [{ service: 'holds', target: { ...target, ...members } }] } })
const serviceWith = (members: object): string => noteWith({ added: { services: [{ ...holds, ...members }] } })
const routeWith = (members: object): string => noteWith({ added: { routes: [{ ...route, ...members }] } })
const targetPath = 'added.targets[0].target'
const idAllowed = 'an id of 1 to 128 letters, digits, ".", "_" and "-" that starts with a letter or digit'
const nameAllowed = 'a name of 1 to 63 lower-case letters, digits and "-" that starts with a letter or digit'

// Each case guards against a mistake that is accepted, or reported without its path.
const cases: readonly Case[] = [
  { name: 'not an object', text: '7', mistakes: [{ path: '(document)', found: '7', allowed: 'object' }] },
  {
    name: 'a misspelt member',
    text: JSON.stringify({ id: 'n-1', bsae: 0, withdrawn: { routes: ['r-1'] } }),
    mistakes: [
      { path: 'bsae', found: '0', allowed: 'no such member; the members are id, base, added, changed, withdrawn' },
      { path: 'base', found: 'nothing', allowed: `an integer from 0 to ${Number.MAX_SAFE_INTEGER}` }
    ]
  },
  { name: 'an id with a space', text: JSON.stringify({ id: 'n 1', base: 0, withdrawn: { routes: ['r-1'] } }), mistakes: [{ path: 'id', found: '"n 1"', allowed: idAllowed }] },
  { name: 'a negative base', text: noteWith({ base: -1, withdrawn: { routes: ['r-1'] } }), mistakes: [{ path: 'base', found: '-1', allowed: `an integer from 0 to ${Number.MAX_SAFE_INTEGER}` }] },
  { name: 'port 0', text: targetWith({ port: 0 }), mistakes: [{ path: `${targetPath}.port`, found: '0', allowed: 'an integer from 1 to 65535' }] },
  { name: 'a port beyond the range', text: targetWith({ port: 65_536 }), mistakes: [{ path: `${targetPath}.port`, found: '65536', allowed: 'an integer from 1 to 65535' }] },
  { name: 'a host name as address', text: targetWith({ address: 'target.example' }), mistakes: [{ path: `${targetPath}.address`, found: '"target.example"', allowed: 'an IP number such as "10.1.0.7"' }] },
  { name: 'no slots', text: targetWith({ slots: 0 }), mistakes: [{ path: `${targetPath}.slots`, found: '0', allowed: 'an integer from 1 to 10000' }] },
  { name: 'half a slot', text: targetWith({ slots: 1.5 }), mistakes: [{ path: `${targetPath}.slots`, found: '1.5', allowed: 'an integer' }] },
  { name: 'slots as text', text: targetWith({ slots: '4' }), mistakes: [{ path: `${targetPath}.slots`, found: '"4"', allowed: 'number' }] },
  { name: 'fewer connections than slots', text: targetWith({ connections: 3 }), mistakes: [{ path: `${targetPath}.connections`, found: '3', allowed: 'at least 4, the slots of the target' }] },
  { name: 'a service without classes', text: serviceWith({ classes: [] }), mistakes: [{ path: 'added.services[0].classes', found: '[]', allowed: 'at least one entry' }] },
  { name: 'two classes with the same name', text: serviceWith({ classes: [{ name: 'a' }, { name: 'a' }] }), mistakes: [{ path: 'added.services[0].classes[1].name', found: '"a"', allowed: 'a name that no other class of the service has' }] },
  { name: 'an unknown preference', text: serviceWith({ preference: 'speed' }), mistakes: [{ path: 'added.services[0].preference', found: '"speed"', allowed: '"detection" | "accuracy"' }] },
  { name: 'a capital in a service name', text: serviceWith({ name: 'Holds' }), mistakes: [{ path: 'added.services[0].name', found: '"Holds"', allowed: nameAllowed }] },
  { name: 'a path without a slash', text: routeWith({ pathPrefix: 'holds' }), mistakes: [{ path: 'added.routes[0].pathPrefix', found: '"holds"', allowed: 'a path of at most 1024 characters that starts with "/", without spaces, "?" and "#"' }] },
  { name: 'a host with a port', text: routeWith({ host: 'a.example:80' }), mistakes: [{ path: 'added.routes[0].host', found: '"a.example:80"', allowed: 'a lower-case host name without port, such as "example.org"' }] },
  { name: 'a method in lower case', text: routeWith({ methods: ['get'] }), mistakes: [{ path: 'added.routes[0].methods[0]', found: '"get"', allowed: 'a method in capitals, such as "GET"' }] },
  {
    name: 'targets within a changed service',
    text: noteWith({ changed: { services: [holds] } }),
    mistakes: [{ path: 'changed.services[0].targets', found: `[${JSON.stringify(target)}]`, allowed: 'no targets here; list them in added, changed or withdrawn targets' }]
  },
  {
    name: 'an entry that is both added and withdrawn',
    text: noteWith({ added: { routes: [route] }, withdrawn: { routes: ['r-1'] } }),
    mistakes: [{ path: 'withdrawn.routes[0]', found: '"route:r-1"', allowed: 'an entry that the note does not name elsewhere; also named in added.routes[0]' }]
  },
  {
    name: 'a target that is added both within its service and as a separate entry',
    text: noteWith({ added: { services: [holds], targets: [{ service: 'holds', target }] } }),
    mistakes: [{ path: 'added.targets[0]', found: '"target:holds/t-1"', allowed: 'an entry that the note does not name elsewhere; also named in added.services[0].targets[0]' }]
  },
  {
    name: 'a target of a service that is withdrawn',
    text: noteWith({ withdrawn: { services: ['holds'], targets: [{ service: 'holds', id: 't-1' }] } }),
    mistakes: [{ path: 'withdrawn.targets[0]', found: '"holds"', allowed: 'a service that the note does not withdraw' }]
  },
  { name: 'no entries', text: noteWith({}), mistakes: [{ path: 'added', found: 'no entries', allowed: 'at least one entry in added, changed or withdrawn' }] },
  {
    name: 'several mistakes at once',
    text: targetWith({ port: 0, slots: 0, colour: 'red' }),
    mistakes: [
      { path: `${targetPath}.colour`, found: '"red"', allowed: 'no such member; the members are id, address, port, place, slots, connections' },
      { path: `${targetPath}.port`, found: '0', allowed: 'an integer from 1 to 65535' },
      { path: `${targetPath}.slots`, found: '0', allowed: 'an integer from 1 to 10000' }
    ]
  }
]

for (const { name, text, mistakes } of cases) {
  parse(`${name} is reported with its path, the value found and the allowed values`, () => {
    const refused = parseNote(text)._unsafeUnwrapErr()
    assert.is(refused.kind, 'note-malformed')
    assert.equal(refused.extra['mistakes'], mistakes)
  })
}

// Guards against input that makes the parser throw.
for (const text of ['', '{', '{"id":"n-1",}', 'null', '[]', '{"__proto__":{"id":"n-1","base":0}}']) {
  parse(`${JSON.stringify(text)} is refused`, () => {
    assert.is(parseNote(text)._unsafeUnwrapErr().kind, 'note-malformed')
  })
}

// Guards against a note that exceeds the size limit of messages between VMs.
parse('a note above the size limit is refused, as text or with its defaults filled in', () => {
  const long = `"${'x'.repeat(NOTE_LIMIT_BYTES)}"`
  assert.match(parseNote(long)._unsafeUnwrapErr().detail, 'too large')
  const classes = Array.from({ length: 60 }, (_, i) => ({ name: `c-${i}` }))
  const services = Array.from({ length: 80 }, (_, i) => ({ ...holds, name: `s-${i}`, classes }))
  const text = noteWith({ added: { services } })
  assert.ok(Buffer.byteLength(text) < NOTE_LIMIT_BYTES)
  assert.match(parseNote(text)._unsafeUnwrapErr().detail, 'too large')
})

// Guards against an announcement that exceeds the frame limit: no VM would acknowledge it, and the operator would get `fleet-split`.
parse('the announcement of the largest notes fits into one frame', () => {
  const target = (i: number): object => ({ id: `t-${i}`, address: `10.100.${Math.floor(i / 200)}.${i % 200}`, port: 65_535, place: 'p', slots: 10_000, connections: 1_000_000 })
  const route = (i: number): object => ({ id: `r-${i}`, service: 'holds', class: 'read', pathPrefix: `/${i}/${'š'.repeat(500)}` })
  const parts: ReadonlyArray<readonly [string, (i: number) => object, number]> = [
    ['targets', i => ({ service: 'holds', target: target(i) }), 1000],
    ['routes', route, 120]
  ]
  for (const [part, entryOf, count] of parts) {
    const text = noteWith({ added: { [part]: Array.from({ length: count }, (_, i) => entryOf(i)) } })
    assert.ok(Buffer.byteLength(text) > 0.9 * NOTE_LIMIT_BYTES, `${part}: ${Buffer.byteLength(text)} bytes`)
    const note = parseNote(text)._unsafeUnwrap()
    const accepted = { revision: Number.MAX_SAFE_INTEGER, note, acceptedAt: Number.MAX_SAFE_INTEGER, acceptedBy: 'x'.repeat(128) }
    const frame = encode(['announcement', ['0'.repeat(16), accepted]])
    assert.ok(frame.length < FRAME_LIMIT_BYTES / 1.5, `${part}: ${frame.length} bytes`)
  }
})

parse.run()
