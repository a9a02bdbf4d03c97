/** Measures the heap growth and the duration of an operation. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

const US_PER_MS = 1000

/** Timed runs, of which the median is reported. */
const RUNS = 5

/** A run repeats a short operation for at least this time, because the clock is too coarse for a single call. */
const MIN_RUN_MS = 20

setFlagsFromString('--expose-gc')
// Without this flag a collection also discards compiled code, which would appear as negative growth.
setFlagsFromString('--no-flush-bytecode')
const collectGarbage = runInNewContext('gc') as () => void

/** Collections repeat until two readings agree, because buffers outside the heap are freed one collection later. */
const MAX_COLLECTIONS = 8
const STABLE_WITHIN_BYTES = 1024

/** Collects garbage and returns the bytes in use: the heap and the buffers outside it. */
function usedBytes (): number {
  let lastBytes = Number.POSITIVE_INFINITY
  for (let i = 0; i < MAX_COLLECTIONS; i++) {
    collectGarbage()
    const { heapUsed, external } = process.memoryUsage()
    if (i > 1 && Math.abs(lastBytes - heapUsed - external) < STABLE_WITHIN_BYTES) break
    lastBytes = heapUsed + external
  }
  return lastBytes
}

interface RetainedValue<Value> {
  readonly bytes: number
  readonly value: Value
}

function measureGrowth<Value> (create: () => Value): RetainedValue<Value> {
  const before = usedBytes()
  const value = create()
  return { bytes: usedBytes() - before, value }
}

/**
 * Measures the heap growth caused by the value that `create` returns, in bytes: the median of three calls,
 * after a first call that compiles the code and fills caches. Temporary objects of `create` are collected
 * before the second reading.
 *
 * @example
 * const { bytes, value } = measureHeap(() => createRouteTable(configuration))
 */
export function measureHeap<Value> (create: () => Value): RetainedValue<Value> {
  create()
  const first = measureGrowth(create).bytes
  const second = measureGrowth(create).bytes
  const { bytes, value } = measureGrowth(create)
  return { bytes: median([first, second, bytes]), value }
}

/** Returns the middle value, or the lower of the two middle values. NaN for an empty list. */
export function median (values: readonly number[]): number {
  return [...values].sort((a, b) => a - b)[Math.floor((values.length - 1) / 2)] ?? Number.NaN
}

function timeRun (operation: (iteration: number) => unknown): number {
  const startedAt = performance.now()
  let iterations = 0
  let elapsedMs = 0
  while (elapsedMs < MIN_RUN_MS) {
    operation(iterations++)
    elapsedMs = performance.now() - startedAt
  }
  return elapsedMs * US_PER_MS / iterations
}

/**
 * Measures the median duration of an operation in us, over five runs after a warm-up run.
 *
 * @param operation called with the index of the call within its run
 */
export function measureTime (operation: (iteration: number) => unknown): number {
  timeRun(operation)
  return median(Array.from({ length: RUNS }, () => timeRun(operation)))
}

/** Measures the duration of a single call in us, for operations that cannot be repeated. */
export function timeOnce (operation: () => unknown): number {
  const startedAt = performance.now()
  operation()
  return (performance.now() - startedAt) * US_PER_MS
}
