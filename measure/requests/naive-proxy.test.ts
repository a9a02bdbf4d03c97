import { request } from 'node:http'
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { runLoad, type LoadPlan } from '../../stand-ins/caller/index.js'
import { createTargetStandIn, type Fault, type TargetStandIn } from '../../stand-ins/target/index.js'
import { createNaiveProxy, type NaiveProxy } from './naive-proxy.js'
import { evaluateOutcome, type Outcome } from './outcome.js'

const naive = suite('naive proxy')

const TARGETS = 3
const DEADLINE_MS = 3000

async function withProxy (faults: readonly Fault[], test: (proxy: NaiveProxy, targets: readonly TargetStandIn[]) => Promise<void>): Promise<void> {
  const targets = await Promise.all(Array.from({ length: TARGETS }, (_, i) => createTargetStandIn({
    id: `t${i}`, address: '127.0.0.1', place: 'riga-a', slots: 16, time: { distribution: 'fixed', meanMs: 1 }, seed: i
  })))
  for (const target of targets) for (const fault of faults) target.setFault(fault)
  const endpoints = targets.map(({ spec, port }) => ({ address: spec.address, port }))
  const proxy = await createNaiveProxy({ address: '127.0.0.1', targets: endpoints, addresses: () => [proxy.endpoint] })
  try {
    await test(proxy, targets)
  } finally {
    await proxy.close()
    await Promise.all(targets.map(target => target.close()))
  }
}

async function runOrders (proxy: NaiveProxy, targets: readonly TargetStandIn[]): Promise<Outcome> {
  const plan: LoadPlan = {
    contacts: [proxy.endpoint],
    service: 'work',
    place: 'riga-a',
    host: 'test.example',
    ratePerSecond: 100,
    durationMs: 300,
    seed: 1,
    attempts: 1,
    kinds: [{
      name: 'order', weight: 1, method: 'POST', path: '/work', idempotent: false, key: true, bodyBytes: 20, responseBytes: 300, deadlineMs: DEADLINE_MS
    }]
  }
  return evaluateOutcome(await runLoad(plan), targets.map(target => target.tally()), { statusIsRefusal: true, isCounted: () => true })
}

interface Case {
  readonly title: string
  readonly faults: readonly Fault[]
  readonly isExpected: (outcome: Outcome) => boolean
}

const cases: readonly Case[] = [
  { title: 'without faults every request runs once and gets a response', faults: [], isExpected: ({ answeredShare, doubleRuns, wrongAnswers }) => answeredShare === 1 && doubleRuns === 0 && wrongAnswers === 0 },
  { title: 'a failed non-idempotent request runs again', faults: [{ kind: 'error-gray', share: 0.5 }], isExpected: ({ doubleRuns }) => doubleRuns > 0 },
  { title: 'a truncated response is forwarded as complete', faults: [{ kind: 'truncated', share: 0.5 }], isExpected: ({ wrongAnswers }) => wrongAnswers > 0 },
  {
    title: 'a crash after the work started is reported like a refusal',
    faults: [{ kind: 'crash-on', text: '/work', downMs: 20, exit: false }],
    isExpected: ({ untruthfulRefusals }) => untruthfulRefusals > 0
  }
]

for (const { title, faults, isExpected } of cases) {
  // Guards against a comparison in which the baseline cannot exhibit the violation.
  naive(title, () => withProxy(faults, async (proxy, targets) => {
    const outcome = await runOrders(proxy, targets)
    assert.ok(isExpected(outcome), JSON.stringify(outcome))
  }))
}

naive('a target is ejected after five consecutive failures', () => withProxy([], async (proxy, targets) => {
  // Guards against a baseline that is weaker than documented.
  targets[0]?.setFault({ kind: 'error-gray', share: 1 })
  for (let i = 0; i < 40; i++) {
    await new Promise<void>((resolve, reject) => {
      request({ host: proxy.endpoint.address, port: proxy.endpoint.port, path: '/work' }, response => { response.resume().once('end', resolve) }).once('error', reject).end()
    })
  }
  assert.is(targets[0]?.tally().failed, 5)
}))

naive.run()
