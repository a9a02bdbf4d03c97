import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import type { AcceptedNote, Configuration, Note } from '../model/index.js'
import { applyNote, checkNote, EMPTY_CONFIGURATION, parseNote, type Conflict, type Mistake } from './index.js'

const check = suite('checkNote')

const targetOf = (id: string, slots = 4): object => ({ id, address: `10.0.0.${id.length}`, port: 80 + Number(id.at(-1)), place: 'riga-a', slots })
const serviceOf = (name: string, floor: number, ids: readonly string[]): object => (
  { name, classes: [{ name: 'read' }, { name: 'write' }], floor, preference: 'detection', targets: ids.map(id => targetOf(id)) })
const routeOf = (id: string, service: string, members: object = {}): object => ({ id, service, class: 'read', pathPrefix: `/${id}`, ...members })

const noteOf = (id: string, base: number, members: object): Note => parseNote(JSON.stringify({ id, base, ...members }))._unsafeUnwrap()
const acceptNote = (revision: number, note: Note): AcceptedNote => ({ revision, note, acceptedAt: 0, acceptedBy: 'entry-1' })

const first = acceptNote(1, noteOf('first', 0, {
  added: {
    services: [serviceOf('holds', 4, ['t-1', 't-2']), serviceOf('visits', 0, ['t-1'])],
    routes: [routeOf('r-1', 'holds'), routeOf('r-2', 'visits')]
  }
}))
const start: Configuration = applyNote(EMPTY_CONFIGURATION, first)._unsafeUnwrap()

/** Applies notes after the first note. */
function applyAll (notes: readonly Note[]): { readonly configuration: Configuration, readonly history: readonly AcceptedNote[] } {
  const history = [first, ...notes.map((note, i) => acceptNote(i + 2, note))]
  const configuration = history.slice(1).reduce((current, accepted) => applyNote(current, accepted)._unsafeUnwrap(), start)
  return { configuration, history }
}

interface FitCase {
  readonly name: string
  readonly members: object
  readonly mistakes: readonly Mistake[]
}

// Each case guards against a note that leads to a configuration in which requests have no target,
// no class or no unique route.
const fitCases: readonly FitCase[] = [
  { name: 'a target that changes', members: { changed: { targets: [{ service: 'holds', target: targetOf('t-1', 8) }] } }, mistakes: [] },
  { name: 'a service added without targets', members: { added: { services: [serviceOf('new', 0, [])] } }, mistakes: [] },
  { name: 'a service and its targets as separate entries', members: { added: { services: [serviceOf('new', 4, [])], targets: [{ service: 'new', target: targetOf('t-1') }] } }, mistakes: [] },
  { name: 'a floor above the slots', members: { added: { services: [serviceOf('new', 5, ['t-1'])] } }, mistakes: [{ path: 'service:new.floor', found: '5', allowed: 'at most 4, the slots of its targets' }] },
  {
    name: 'a withdrawn target whose slots the floor needs',
    members: { withdrawn: { targets: [{ service: 'holds', id: 't-1' }, { service: 'holds', id: 't-2' }] } },
    mistakes: [{ path: 'service:holds.floor', found: '4', allowed: 'at most 0, the slots of its targets' }]
  },
  { name: 'an added service that exists', members: { added: { services: [serviceOf('holds', 0, [])] } }, mistakes: [{ path: 'added.services[0]', found: '"service:holds"', allowed: 'an entry that does not exist yet' }] },
  { name: 'an added target that exists', members: { added: { targets: [{ service: 'holds', target: targetOf('t-1') }] } }, mistakes: [{ path: 'added.targets[0]', found: '"target:holds/t-1"', allowed: 'an entry that does not exist yet' }] },
  { name: 'a changed route that does not exist', members: { changed: { routes: [routeOf('r-9', 'holds')] } }, mistakes: [{ path: 'changed.routes[0]', found: '"route:r-9"', allowed: 'an entry that exists' }] },
  { name: 'a withdrawn service that does not exist', members: { withdrawn: { services: ['new'] } }, mistakes: [{ path: 'withdrawn.services[0]', found: '"service:new"', allowed: 'an entry that exists' }] },
  { name: 'a target of an unknown service', members: { added: { targets: [{ service: 'new', target: targetOf('t-1') }] } }, mistakes: [{ path: 'added.targets[0]', found: '"new"', allowed: 'a service that exists' }] },
  { name: 'a route to an unknown service', members: { added: { routes: [routeOf('r-9', 'new')] } }, mistakes: [{ path: 'route:r-9.service', found: '"new"', allowed: 'a service that exists' }] },
  { name: 'a route to an unknown class', members: { added: { routes: [routeOf('r-9', 'holds', { class: 'erase' })] } }, mistakes: [{ path: 'route:r-9.class', found: '"erase"', allowed: 'a class of holds: read, write' }] },
  {
    name: 'a changed service without a class that a route uses',
    members: { changed: { services: [{ ...serviceOf('visits', 0, []), classes: [{ name: 'write' }] }] } },
    mistakes: [{ path: 'route:r-2.class', found: '"read"', allowed: 'a class of visits: write' }]
  },
  {
    name: 'a second target at one endpoint',
    members: { added: { targets: [{ service: 'holds', target: { ...targetOf('t-3'), port: 81 } }] } },
    mistakes: [{ path: 'target:holds/t-3', found: '"10.0.0.3:81"', allowed: 'an address and port other than those of t-1' }]
  },
  {
    name: 'a second route that matches the same requests',
    members: { added: { routes: [routeOf('r-9', 'holds', { pathPrefix: '/r-1', methods: ['GET'] })] } },
    mistakes: [{ path: 'route:r-9', found: '{"pathPrefix":"/r-1","methods":["GET"]}', allowed: 'a host, prefix and method other than those of route:r-1' }]
  },
  { name: 'a route that differs only in its host', members: { added: { routes: [routeOf('r-9', 'holds', { pathPrefix: '/r-1', host: 'a.example' })] } }, mistakes: [] }
]

for (const { name, members, mistakes } of fitCases) {
  check(`${name} ${mistakes.length === 0 ? 'is accepted' : 'does not fit'}`, () => {
    const checked = checkNote(start, [first], noteOf('n', 1, members))
    const found = checked.match(() => [], refused => [refused.kind, refused.extra['mistakes']])
    assert.equal(found, mistakes.length === 0 ? [] : ['note-conflict', mistakes])
  })
}

interface ConflictCase {
  readonly name: string
  readonly earlier: object
  readonly later: object
  readonly base?: number
  readonly entries: readonly string[]
}

const changeTarget = (id: string): object => ({ changed: { targets: [{ service: 'holds', target: targetOf(id, 8) }] } })

// Each case guards against a note that overwrites a change that its operator has not seen.
const conflictCases: readonly ConflictCase[] = [
  { name: 'the same target', earlier: changeTarget('t-1'), later: changeTarget('t-1'), entries: ['target:holds/t-1'] },
  { name: 'the same target, with a base that includes the earlier note', earlier: changeTarget('t-1'), later: changeTarget('t-1'), base: 2, entries: [] },
  { name: 'two targets of a service', earlier: changeTarget('t-1'), later: changeTarget('t-2'), entries: [] },
  { name: 'a service and one of its targets', earlier: changeTarget('t-1'), later: { changed: { services: [serviceOf('holds', 2, [])] } }, entries: [] },
  { name: 'a changed target and its withdrawn service', earlier: changeTarget('t-1'), later: { withdrawn: { services: ['holds'] } }, entries: ['target:holds/t-1'] },
  { name: 'a withdrawn service and its changed target', earlier: { withdrawn: { services: ['holds'] } }, later: changeTarget('t-1'), entries: ['target:holds/t-1'] },
  { name: 'a withdrawn service and a route to it', earlier: { withdrawn: { services: ['holds'] } }, later: { added: { routes: [routeOf('r-9', 'holds')] } }, entries: ['route:r-9'] },
  { name: 'the same withdrawn route', earlier: { withdrawn: { routes: ['r-1'] } }, later: { withdrawn: { routes: ['r-1'] } }, entries: ['route:r-1'] }
]

for (const { name, earlier, later, base = 1, entries } of conflictCases) {
  check(`${name}: ${entries.length === 0 ? 'no conflict' : 'the refusal names the other note'}`, () => {
    const { configuration, history } = applyAll([noteOf('earlier', 1, earlier)])
    const checked = checkNote(configuration, history, noteOf('later', base, later))
    const expected: readonly Conflict[] = [{ note: 'earlier', revision: 2, entries }]
    assert.equal(checked.match(() => [], refused => refused.extra['conflicts']), entries.length === 0 ? [] : expected)
    if (checked.isErr()) assert.match(checked.error.detail, '"earlier"')
  })
}

check('a base above the current revision is refused', () => {
  const refused = checkNote(start, [first], noteOf('n', 2, changeTarget('t-1')))._unsafeUnwrapErr()
  assert.is(refused.kind, 'note-conflict')
})

// Guards against routes to a service that was removed.
check('the targets and routes of a withdrawn service are removed, except a route that the note moves to another service', () => {
  const move = noteOf('n', 1, { changed: { routes: [routeOf('r-1', 'visits')] }, withdrawn: { services: ['holds'] } })
  const moved = checkNote(start, [first], move)._unsafeUnwrap()
  assert.equal(moved.services.map(({ name }) => name), ['visits'])
  assert.equal(moved.routes.map(({ id, service }) => [id, service]), [['r-1', 'visits'], ['r-2', 'visits']])
  const gone = checkNote(start, [first], noteOf('n', 1, { withdrawn: { services: ['holds'] } }))._unsafeUnwrap()
  assert.equal(gone.routes.map(({ id }) => id), ['r-2'])
})

// Guards against a changed service that loses its targets.
check('a changed service keeps its targets', () => {
  const changed = checkNote(start, [first], noteOf('n', 1, { changed: { services: [serviceOf('holds', 2, [])] } }))._unsafeUnwrap()
  assert.equal(changed.services[0]?.targets.map(({ id }) => id), ['t-1', 't-2'])
  assert.is(changed.services[0]?.floor, 2)
})

// Guards against a VM that applies a note twice or skips one.
check('only the note that follows the revision can be applied', () => {
  for (const revision of [1, 3]) {
    assert.ok(applyNote(start, acceptNote(revision, noteOf('n', 1, changeTarget('t-1')))).isErr())
  }
  assert.is(applyNote(start, acceptNote(2, noteOf('n', 1, changeTarget('t-1'))))._unsafeUnwrap().revision, 2)
})

// Guards against a configuration that changes while it is in use.
check('applying a note changes neither the configuration nor the note', () => {
  const note = noteOf('n', 1, { ...changeTarget('t-1'), withdrawn: { services: ['visits'] } })
  const before = JSON.stringify([start, note])
  checkNote(start, [first], note)._unsafeUnwrap()
  assert.is(JSON.stringify([start, note]), before)
})

check.run()
