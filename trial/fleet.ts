/** Starts and stops a fleet of programs with its stand-ins on loopback. */
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { callOperatorAPI } from '../src/cli/operator-client.js'
import type { VM } from '../src/model/index.js'
import type { Fault, Tally } from '../stand-ins/target/index.js'
import { callControl } from './control.js'
import { OPERATOR_TOKEN, type Layout, type PlannedTarget } from './layout.js'
import { startProgram, type Program } from './process.js'

/** A running fleet, and the control of its stand-ins. */
export interface RunningFleet {
  readonly layout: Layout
  readonly platform: Program
  readonly targets: Program
  /** The latest program of each VM, by name of the VM. */
  readonly vms: ReadonlyMap<string, Program>
  /** All VM programs that were ever started, including ended ones. */
  readonly started: readonly Program[]
  readonly startVM: (vm: VM) => Promise<Program>
  readonly setPlatformFaults: (faults: object) => Promise<unknown>
  readonly setTargetFault: (target: string, fault: Fault) => Promise<unknown>
  readonly clearTargetFaults: (target: string) => Promise<unknown>
  readonly markTargetLeaving: (target: string) => Promise<unknown>
  readonly tally: (target: string) => Promise<Tally>
  /** Replaces the platform's VM list. */
  readonly listVMs: (entries: ReadonlyArray<{ readonly vm: VM, readonly state: 'live' | 'leaving' }>) => Promise<unknown>
  /** Calls the operator API of a VM. */
  readonly operators: (vm: VM, method: 'GET' | 'POST', path: string, body?: object) => ReturnType<typeof callOperatorAPI>
  /** Kills all programs and waits until they have ended. */
  readonly kill: () => Promise<void>
}

const VM_PROGRAM = 'dist/src/cli/main.js'
const PLATFORM_PROGRAM = 'dist/stand-ins/platform/main.js'
const TARGETS_PROGRAM = 'dist/stand-ins/target/main.js'
const CONTROL_PORT = 7100

/** Mean service times of the target stand-ins, in ms. */
export interface WorkTimes {
  readonly listing: number
  readonly holds: number
}

function createTargetsSpec (layout: Layout, times: WorkTimes): object {
  const specOf = (service: 'listing' | 'holds') => ({ id, address, port, place, slots }: PlannedTarget, seed: number): object => ({
    id, address, port, place, slots, seed: seed + 1, time: { distribution: 'lognormal', meanMs: times[service], sigma: 0.4 }
  })
  return {
    control: { address: layout.platform.address, port: CONTROL_PORT },
    targets: [...layout.targets.listing.map(specOf('listing')), ...layout.targets.holds.map(specOf('holds'))]
  }
}

/**
 * Starts the platform stand-in, the target stand-ins and all VMs. The programs
 * must be compiled first.
 */
export async function startFleet (layout: Layout, times: WorkTimes): Promise<RunningFleet> {
  const folder = mkdtempSync(join(tmpdir(), 'camphorbay-'))
  process.once('exit', () => rmSync(folder, { recursive: true, force: true }))
  const write = (name: string, document: object): string => {
    const file = join(folder, name)
    writeFileSync(file, JSON.stringify(document))
    return file
  }
  const control = { address: layout.platform.address, port: CONTROL_PORT }
  const platform = startProgram('platform', PLATFORM_PROGRAM, ['--address', layout.platform.address, '--port', String(layout.platform.port)])
  const targets = startProgram('targets', TARGETS_PROGRAM, ['--spec', write('targets.json', createTargetsSpec(layout, times))])
  await Promise.all([platform.waitFor('platform.listening'), targets.waitFor('targets.listening')])
  const vms = new Map<string, Program>()
  const started: Program[] = []
  const startVM = async (vm: VM): Promise<Program> => {
    const program = startProgram(vm.name, VM_PROGRAM, ['run', '--settings', write(`${vm.name}.json`, layout.settingsOf(vm))])
    vms.set(vm.name, program)
    started.push(program)
    await program.waitFor('vm.started')
    return program
  }
  const listVMs: RunningFleet['listVMs'] = async entries => await callControl(layout.platform, 'POST', '/control/vms', { vms: entries })
  await listVMs(layout.vms.map(vm => ({ vm, state: 'live' })))
  await Promise.all(layout.vms.map(startVM))
  return {
    layout,
    platform,
    targets,
    vms,
    started,
    startVM,
    listVMs,
    setPlatformFaults: async faults => await callControl(layout.platform, 'POST', '/control/faults', faults),
    setTargetFault: async (target, fault) => await callControl(control, 'PUT', `/targets/${target}/faults`, fault),
    clearTargetFaults: async target => await callControl(control, 'DELETE', `/targets/${target}/faults`),
    markTargetLeaving: async target => await callControl(control, 'POST', `/targets/${target}/leaving`),
    tally: async target => await callControl(control, 'GET', `/targets/${target}/tally`) as Tally,
    operators: async (vm, method, path, body) =>
      await callOperatorAPI({ url: layout.operatorsUrl(vm), token: OPERATOR_TOKEN }, method, path, body === undefined ? undefined : JSON.stringify(body)),
    kill: async () => {
      const programs = [...vms.values(), targets, platform]
      for (const program of programs) program.signal('SIGKILL')
      await Promise.all(programs.map(program => program.ended))
    }
  }
}
