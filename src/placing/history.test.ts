import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createHistory, type History } from './history.js'

const test = suite('history of a service')

interface Case {
  readonly name: string
  readonly play: (history: History) => void
  readonly now: number
  readonly isFailing?: boolean
  readonly hasIdempotent?: boolean
  readonly endsPerMs?: number
}

const repeat = (count: number, act: () => void): void => { for (let index = 0; index < count; index++) act() }

const cases: readonly Case[] = [
  { name: 'nothing happened', play: () => {}, now: 0 },
  { name: 'a rate is measured from ten answers on', play: history => repeat(10, () => history.answered(100)), now: 200, endsPerMs: 10 / 2000 },
  { name: 'nine answers are too few', play: history => repeat(9, () => history.answered(100)), now: 200 },
  { name: 'answers of long ago do not count', play: history => repeat(20, () => history.answered(100)), now: 2200 },
  { name: 'a single failure is an accident', play: history => history.failed(100), now: 100 },
  { name: 'three of twenty are not', play: history => { repeat(17, () => history.answered(100)); repeat(3, () => history.failed(100)) }, now: 100, isFailing: true, endsPerMs: 17 / 2000 },
  { name: 'a failing service recovers', play: history => repeat(5, () => history.failed(100)), now: 3200 },
  { name: 'an idempotent request was there', play: history => history.asked(true, 100), now: 3100, hasIdempotent: true },
  { name: 'and is forgotten', play: history => history.asked(true, 100), now: 3200 },
  { name: 'others do not count', play: history => history.asked(false, 100), now: 100 }
]

for (const { name, play, now, isFailing = false, hasIdempotent = false, endsPerMs } of cases) {
  test(name, () => {
    const history = createHistory()
    play(history)
    assert.equal([history.isFailing(now), history.hasIdempotent(now), history.endsPerMs(now)], [isFailing, hasIdempotent, endsPerMs])
  })
}

test.run()
