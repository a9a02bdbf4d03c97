/** Messages about targets between VMs. */
import type { Channel } from '../model/index.js'
import { integer, list, text, tuple, type Checked } from '../peer/index.js'

const ID_LIMIT = 200
const TARGETS_LIMIT = 4096

/** Successes older than this are not reported: peers know them already, or they say little about the present. */
export const SUCCESS_AGE_LIMIT_MS = 1000

const checkHealthReport = tuple(text(ID_LIMIT, 1), integer(), integer(0, 1))

/** Id of a target, start time of its process, and 1 if it failed or 0 if it recovered. */
export type HealthReport = Checked<typeof checkHealthReport>

/** Sent to the serving VMs of all zones immediately when a target fails a request, or a suspect target serves one. */
export const healthReportChannel: Channel<HealthReport> = { kind: 'verdict', parse: checkHealthReport }

const checkLoadReport = list(tuple(text(ID_LIMIT, 1), integer(0, 65_535), integer(0)), TARGETS_LIMIT)

/**
 * For each target with requests or recent successes: its id, the sender's requests in flight there, and
 * the time since the last success, in ms. Times above `SUCCESS_AGE_LIMIT_MS` mean no recent success.
 */
export type LoadReport = Checked<typeof checkLoadReport>

/** Sent to the serving VMs of the zone, and to those of other zones while the zone's utilisation is high. */
export const loadReportChannel: Channel<LoadReport> = { kind: 'loads', parse: checkLoadReport }
