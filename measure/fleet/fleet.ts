/** Coordination of several VMs in one process, on a manual clock. */
import { createCoordination, TICK_MS, type Coordination, type TryConnect } from '../../src/allocation/index.js'
import type { Log } from '../../src/log/index.js'
import type { Configuration, Demand, Observation } from '../../src/model/index.js'
import type { Random } from '../random.js'
import { createNetwork, type Network } from './network.js'

/** A VM of the fleet, whose process can be paused or replaced. */
export interface SimulatedVM {
  readonly name: string
  readonly coordination: () => Coordination
  readonly isPaused: () => boolean
  /** Number of the current process, from 0. */
  readonly generation: () => number
}

/** VMs that share a network and a clock. */
export interface Fleet {
  readonly vms: readonly SimulatedVM[]
  readonly network: Network
  readonly now: () => number
  /** Advances the clock by `STEP_MS`, delivers messages and runs periodic work. */
  readonly step: () => void
  readonly pause: (vm: string) => void
  readonly resume: (vm: string) => void
  /** Replaces the process of a VM by one without state. */
  readonly restart: (vm: string) => void
  readonly observe: (vm: string, observation: Observation) => void
}

/** Options of a fleet. */
export interface FleetOptions {
  readonly names: readonly string[]
  readonly configuration: () => Configuration
  readonly demandOf: (vm: string) => Demand
  readonly random: Random
  /** One-way latency of the links. Default: 1.5 ms. */
  readonly latencyMs?: number
  readonly tryConnect?: TryConnect
  readonly log?: Log
  /** Returns the size of a message in bytes. Default: 0 for every message. */
  readonly measureBytes?: (body: unknown) => number
}

/** Resolution of the manual clock. */
export const STEP_MS = 10
/** Not 0, because the clock of a real process does not start at 0 either. */
const START_MS = 100_000
const DEFAULT_LATENCY_MS = 1.5

export const silentLog: Log = { info: () => {}, warn: () => {}, error: () => {} }

/** Demand of a VM that has no requests. */
export const noDemand: Demand = { inUse: () => 0, waiting: () => 0 }

/** Creates a fleet whose VMs are all members of each service's subset. */
export function createFleet (options: FleetOptions): Fleet {
  const { names, random, log = silentLog } = options
  const network = createNetwork(options.latencyMs ?? DEFAULT_LATENCY_MS, random, options.measureBytes)
  const paused = new Set<string>()
  const processes = new Map<string, { readonly coordination: Coordination, readonly generation: number, nextTickAt: number }>()
  let now = START_MS

  const start = (name: string, generation: number): void => {
    const incarnation = `${name}-${generation}`
    const coordination = createCoordination({
      self: name,
      incarnation,
      subset: () => names,
      configuration: options.configuration,
      mesh: network.attach({ vm: name, incarnation }),
      demand: options.demandOf(name),
      ...(options.tryConnect === undefined ? {} : { tryConnect: options.tryConnect }),
      log
    })
    processes.set(name, { coordination, generation, nextTickAt: now + Math.floor(random() * TICK_MS) })
  }
  const processOf = (name: string): { readonly coordination: Coordination, readonly generation: number, nextTickAt: number } => {
    const found = processes.get(name)
    if (found === undefined) throw new Error(`no VM named ${name} in the fleet`)
    return found
  }
  for (const name of names) start(name, 0)
  return {
    vms: names.map(name => ({
      name,
      coordination: () => processOf(name).coordination,
      isPaused: () => paused.has(name),
      generation: () => processOf(name).generation
    })),
    network,
    now: () => now,
    step: () => {
      now += STEP_MS
      network.deliver(now, vm => paused.has(vm))
      for (const [name, process] of processes) {
        if (paused.has(name) || now < process.nextTickAt) continue
        process.nextTickAt = now + TICK_MS
        process.coordination.tick(now)
      }
    },
    pause: vm => { paused.add(vm) },
    resume: vm => { paused.delete(vm) },
    restart: vm => {
      paused.delete(vm)
      start(vm, processOf(vm).generation + 1)
    },
    observe: (vm, observation) => processOf(vm).coordination.observe(observation, now)
  }
}
