/** Announcements of targets: that they leave, or that they want no requests for a time. */
import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { sampleListing, silentLog } from '../catalog/sample.fixture.js'
import type { Announcement } from '../model/index.js'
import { createTargetAnnouncements, type AnnouncedState } from './target-announcements.js'

const test = suite('target announcements')

const LEAVING: Announcement = { isLeaving: true, pauseMs: undefined }
const pause = (pauseMs: number): Announcement => ({ isLeaving: false, pauseMs })

interface Case {
  readonly name: string
  /** Announcements of the process that started at 1, with their times in ms. */
  readonly recorded: ReadonlyArray<readonly [at: number, announcement: Announcement]>
  readonly at: number
  /** Start time of the process that is asked about. Default: 1. */
  readonly startedAt?: number
  readonly expected: AnnouncedState | undefined
}

const cases: readonly Case[] = [
  { name: 'a target without an announcement gets requests', recorded: [], at: 0, expected: undefined },
  { name: 'an empty announcement has no effect', recorded: [[0, { isLeaving: false, pauseMs: undefined }]], at: 1, expected: undefined },
  { name: 'a leaving target gets no requests', recorded: [[0, LEAVING]], at: 1, expected: 'leaving' },
  { name: 'a target leaves for good', recorded: [[0, LEAVING]], at: 300_000, expected: 'leaving' },
  { name: 'a pause does not end the leaving', recorded: [[0, LEAVING], [10, pause(100)]], at: 5000, expected: 'leaving' },
  { name: 'a new process at the same id begins without announcements', recorded: [[0, LEAVING], [0, pause(9000)]], at: 1, startedAt: 2, expected: undefined },
  { name: 'a target pauses until the time is over', recorded: [[0, pause(1500)]], at: 1499, expected: 'paused' },
  { name: 'a target gets requests when its pause is over', recorded: [[0, pause(1500)]], at: 1500, expected: undefined },
  { name: 'a later announcement does not shorten a pause', recorded: [[0, pause(2000)], [100, pause(200)]], at: 1900, expected: 'paused' },
  { name: 'a later announcement extends a pause', recorded: [[0, pause(1000)], [900, pause(1000)]], at: 1800, expected: 'paused' },
  { name: 'a pause of no time has no effect', recorded: [[0, pause(0)]], at: 0, expected: undefined }
]

for (const { name, recorded, at, startedAt = 1, expected } of cases) {
  for (const isSwept of [false, true]) {
    test(`${name}${isSwept ? ', also after a sweep' : ''}`, () => {
      const announcements = createTargetAnnouncements(silentLog)
      for (const [recordedAt, announcement] of recorded) announcements.record(sampleListing('t-1'), announcement, 'a-1', recordedAt)
      if (isSwept) announcements.sweep(at)
      assert.is(announcements.stateOf(sampleListing('t-1', { startedAt }), at), expected)
    })
  }
}

test.run()
