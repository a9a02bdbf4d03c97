import { err, ok, type Result } from 'neverthrow'
import { check, parseJson, type Mistake } from '../schema/index.js'
import { SettingsDocument } from './schema.js'

/** Validated settings of one VM, with the defaults filled in. */
export type Settings = typeof SettingsDocument.Type

/** Limits on requests and connections of callers. */
export type Limits = Settings['limits']

type CrossFieldRule = (settings: Settings) => readonly Mistake[]

/** A shorter shutdown would abort requests that are still within the request limit. */
const checkStopLimit: CrossFieldRule = ({ stopLimitMs, limits }) => stopLimitMs >= limits.requestLimitMs
  ? []
  : [{
      path: 'stopLimitMs',
      found: String(stopLimitMs),
      allowed: `at least limits.requestLimitMs (${limits.requestLimitMs})`
    }]

/** Two listeners on one endpoint would otherwise fail only at startup, when the first one is already open. */
const checkEndpoints: CrossFieldRule = ({ vm, operators, listenPeers }) => {
  const peers = listenPeers === undefined ? ['vm.peers', vm.peers] as const : ['listenPeers', listenPeers] as const
  const endpoints = [['operators', operators], ['vm.callers', vm.callers], peers] as const
  return endpoints.flatMap(([path, endpoint], i) => {
    const earlier = endpoints.slice(0, i).find(([, other]) => other.address === endpoint.address && other.port === endpoint.port)
    return earlier === undefined
      ? []
      : [{ path, found: `${endpoint.address}:${endpoint.port}`, allowed: `an endpoint other than that of ${earlier[0]}` }]
  })
}

const checkSeeds: CrossFieldRule = ({ seeds }) => seeds.flatMap((seed, i) => {
  const first = seeds.findIndex(other => other.name === seed.name)
  return first === i
    ? []
    : [{ path: `seeds[${i}].name`, found: JSON.stringify(seed.name), allowed: `a name other than that of seeds[${first}]` }]
})

const CROSS_FIELD_RULES: readonly CrossFieldRule[] = [checkStopLimit, checkEndpoints, checkSeeds]

/**
 * Parses and validates the text of a settings file.
 *
 * @returns the settings, or every mistake with its path, the value found and what is allowed
 *
 * @example
 * const settings = parseSettings(readFileSync('entry-7.json', 'utf8'))
 * if (settings.isErr()) settings.error.forEach(mistake => console.error(formatMistake(mistake)))
 */
export function parseSettings (text: string): Result<Settings, readonly Mistake[]> {
  return parseJson(text).andThen(document => check(SettingsDocument, document)).andThen(settings => {
    const mistakes = CROSS_FIELD_RULES.flatMap(rule => rule(settings))
    return mistakes.length === 0 ? ok(settings) : err(mistakes)
  })
}
