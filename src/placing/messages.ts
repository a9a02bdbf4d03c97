/** What VMs tell each other about targets. */
import type { Channel } from '../model/index.js'
import { integer, list, text, tuple, type Checked } from '../peer/index.js'

const ID_LIMIT = 200
const TARGETS_LIMIT = 4096

/** Older successes are not told: the others know them, or they say little. */
export const PROOF_LIMIT_MS = 1000

const checkVerdict = tuple(text(ID_LIMIT, 1), integer(), integer(0, 1))

/** Id of a target, start of its process, and 1 if it failed or 0 if it is sound again. */
export type Verdict = Checked<typeof checkVerdict>

/** To all linked VMs, at once: a target failed a request, or a suspect target served one. */
export const verdictChannel: Channel<Verdict> = { kind: 'verdict', parse: checkVerdict }

const checkLoads = list(tuple(text(ID_LIMIT, 1), integer(0, 65_535), integer(0)), TARGETS_LIMIT)

/**
 * For each target with requests or recent successes: its id, requests of the sender that run there, and
 * time since the last success, in ms. Times above `PROOF_LIMIT_MS` say nothing.
 */
export type Loads = Checked<typeof checkLoads>

/** To the serving VMs of the own zone while it changes, and to those of other zones while the own one is pressed. */
export const loadsChannel: Channel<Loads> = { kind: 'loads', parse: checkLoads }
