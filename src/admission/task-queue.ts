/** Tasks that are deferred until the state that they depend on is consistent. */
export interface TaskQueue {
  readonly add: (task: () => void) => void
  /** Runs the tasks in order, including those added meanwhile. A nested call leaves them to the outer one. */
  readonly flush: () => void
}

/**
 * Creates an empty queue.
 *
 * A resumed fiber runs synchronously and may release a slot or interrupt another fiber, which changes the state again.
 * Running tasks one after another prevents nested calls, and reads of inconsistent state.
 */
export function createTaskQueue (): TaskQueue {
  const tasks: Array<() => void> = []
  let isFlushing = false
  return {
    add: task => { tasks.push(task) },
    flush: () => {
      if (isFlushing) return
      isFlushing = true
      try {
        for (let task = tasks.shift(); task !== undefined; task = tasks.shift()) task()
      } finally {
        isFlushing = false
      }
    }
  }
}
