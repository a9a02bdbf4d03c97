/**
 * Program: runs a fleet on loopback for half a minute, with a gray failure of
 * one target and a release note that is submitted under load.
 *
 * Run it with `npm start`; `npm start -- --keep` keeps the fleet running.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { parseArgs } from 'node:util'
import { createLog } from '../src/log/index.js'
import { runLoad, type Report } from '../stand-ins/caller/index.js'
import { startFleet, type RunningFleet } from './fleet.js'
import { initialNote, OPERATOR_TOKEN, planFleet, type Layout } from './layout.js'
import { planLoads } from './load.js'
import { reserveNetwork } from './network.js'
import { measureDetection, measureNoteInForce, watchFleet } from './observer.js'
import { formatLoads, summarize } from './report.js'
import { submitNote } from './submit.js'

const VMS = 6
const LISTING_TARGETS = 30
const HOLDS_TARGETS = 6
const LOAD_MS = 10_000
/** Coordinators need leases, which a VM grants no earlier than 2 s after its start. */
const SETTLE_MS = 3000
const FAULT_AFTER_MS = 2000
const NOTE_AFTER_MS = 5000
const DETECTION_LIMIT_MS = 8000
const NOTE_LIMIT_MS = 8000
/** The commands in the README use the addresses of this network. */
const PREFERRED_NETWORK = 64
const FAULTY_TARGET = 'holds-3'
const WITHDRAWN_TARGET = 'listing-30'

const { values } = parseArgs({
  options: {
    /** Keeps the fleet running after the trial until Ctrl-C. */
    keep: { type: 'boolean', default: false },
    /** Seed of the load. Default: 1. */
    seed: { type: 'string', default: '1' },
    /** Prints the log lines of all programs. */
    verbose: { type: 'boolean', default: false }
  }
})

const startedAt = performance.now()
const log = createLog({}, line => {
  const { event, ...fields } = JSON.parse(line) as Record<string, unknown>
  const details = Object.entries(fields).filter(([name]) => name !== 'time' && name !== 'level')
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(1).padStart(5)
  console.log(`${seconds} s  ${String(event)} ${details.map(([name, value]) => `${name}=${String(value)}`).join(' ')}`)
})

/** Creates the note that is submitted under load. It adds a route and withdraws a target. */
function secondNote (layout: Layout): object {
  return {
    id: 'withdraw-one-target',
    base: 1,
    added: { routes: [{ id: 'archive', service: 'listing', class: 'search', pathPrefix: '/archive' }] },
    withdrawn: { targets: [{ service: 'listing', id: layout.targets.listing.at(-1)?.id ?? '' }] }
  }
}

async function injectGrayFailure (fleet: RunningFleet): Promise<number | undefined> {
  await sleep(FAULT_AFTER_MS)
  log.info('target.gray', { target: FAULTY_TARGET })
  await fleet.setTargetFault(FAULTY_TARGET, { kind: 'error-gray', share: 1 })
  const detectionMs = await measureDetection(fleet, FAULTY_TARGET, DETECTION_LIMIT_MS)
  log.info('target.without-work', { target: FAULTY_TARGET, afterMs: detectionMs ?? 'never' })
  return detectionMs
}

async function submitUnderLoad (fleet: RunningFleet): Promise<number | undefined> {
  await sleep(NOTE_AFTER_MS)
  const submittedAt = performance.now()
  const revision = await submitNote(fleet, secondNote(fleet.layout))
  await fleet.markTargetLeaving(WITHDRAWN_TARGET)
  const inForceMs = await measureNoteInForce(fleet, revision, submittedAt, NOTE_LIMIT_MS)
  log.info('note.in-force', { revision, vms: fleet.layout.vms.length, afterMs: inForceMs ?? 'never' })
  return inForceMs
}

async function runTrial (fleet: RunningFleet, seed: number): Promise<boolean> {
  await submitNote(fleet, initialNote(fleet.layout))
  log.info('note.accepted', { services: 2, targets: LISTING_TARGETS + HOLDS_TARGETS })
  await sleep(SETTLE_MS)
  const plans = planLoads(fleet.layout, LOAD_MS, seed)
  log.info('load.started', { seconds: LOAD_MS / 1000, requestsPerSecond: plans.reduce((sum, plan) => sum + plan.ratePerSecond, 0) })
  const watch = watchFleet(fleet, plans.map(plan => plan.service))
  const [detectionMs, noteInForceMs, ...loaded] = await Promise.all([injectGrayFailure(fleet), submitUnderLoad(fleet), ...plans.map(runLoad)])
  const findings = await watch.stop()
  log.info('load.ended')
  const ids = [...fleet.layout.targets.listing, ...fleet.layout.targets.holds].map(target => target.id)
  const tallies = await Promise.all(ids.map(fleet.tally))
  const reports: Readonly<Record<string, Report>> = Object.fromEntries(plans.map((plan, i) => [plan.service, loaded[i] as Report]))
  const newWorkAfterLeavingMs = (await fleet.tally(WITHDRAWN_TARGET)).afterLeaving.lastMs
  const summary = summarize({ reports, tallies, findings, sickTarget: FAULTY_TARGET, detectionMs, noteInForceMs, newWorkAfterLeavingMs })
  console.log(`\n${formatLoads(reports)}\n`)
  console.log(JSON.stringify(summary))
  return summary.lost + summary.wrongAnswers + summary.doubleRuns + summary.untruthfulRefusals + summary.floorBreaches === 0
}

function describeRunningFleet (layout: Layout): string {
  const [vm] = layout.vms
  const base = `http://${vm?.callers.address}:${vm?.callers.port}`
  return [
    '\nThe fleet is still running. Press Ctrl-C to stop it. Example commands:',
    `  curl '${base}/.camphorbay/addresses?service=holds&place=riga-a'`,
    `  curl -i ${base}/listing/search`,
    `  curl -i -X POST -H 'Idempotency-Key: my-first-hold' -d 'dog 7' ${base}/holds`,
    `  CAMPHORBAY_TOKEN=${OPERATOR_TOKEN} node dist/src/cli/main.js explain target holds ${FAULTY_TARGET} --vm ${vm === undefined ? '' : layout.operatorsUrl(vm)}`
  ].join('\n')
}

const layout = planFleet(await reserveNetwork(PREFERRED_NETWORK), { vms: VMS, listingTargets: LISTING_TARGETS, holdsTargets: HOLDS_TARGETS })
const fleet = await startFleet(layout, { listing: 20, holds: 15 })
log.info('fleet.started', { vms: VMS })
const isSuccessful = await runTrial(fleet, Number(values.seed))
if (values.verbose) for (const program of fleet.vms.values()) program.lines.forEach(line => console.log(JSON.stringify(line)))
if (values.keep) {
  console.log(describeRunningFleet(layout))
  await new Promise(resolve => process.once('SIGINT', resolve))
}
await fleet.kill()
process.exitCode = isSuccessful ? 0 : 1
