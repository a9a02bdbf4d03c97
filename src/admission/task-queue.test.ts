import { suite } from 'uvu'
import * as assert from 'uvu/assert'
import { createTaskQueue } from './task-queue.js'

const queueSuite = suite('task queue')

queueSuite('tasks that add and flush further tasks do not nest', () => {
  // Guards against a stack overflow when each resumed fiber releases its slot to the next fiber.
  const tasks = createTaskQueue()
  let depth = 0
  let deepest = 0
  let left = 1000
  const task = (): void => {
    depth += 1
    deepest = Math.max(deepest, depth)
    if (left-- > 0) tasks.add(task)
    tasks.flush()
    depth -= 1
  }
  tasks.add(task)
  tasks.flush()
  assert.equal([deepest, left], [1, -1])
})

queueSuite('a task that throws does not block later flushes', () => {
  const tasks = createTaskQueue()
  const ran: string[] = []
  tasks.add(() => { throw new Error('defect') })
  tasks.add(() => { ran.push('second') })
  assert.throws(() => tasks.flush(), 'defect')
  tasks.flush()
  assert.equal(ran, ['second'])
})

queueSuite.run()
