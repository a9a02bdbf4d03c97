/**
 * Schema of the settings file: every setting with its default or an example.
 * `docs/settings.md` lists the same settings for operators.
 */
import { Schema } from 'effect'
import { IPAddress, Name, NonNegative, Port, Positive, withDefault } from '../schema/index.js'

const DAY_MS = 86_400_000
const GIB = 2 ** 30
const MIN_SECRET_LENGTH = 32

const Endpoint = Schema.Struct({ address: IPAddress, port: Port })

const Secret = Schema.String.check(Schema.makeFilter(
  text => text.length >= MIN_SECRET_LENGTH, { expected: `a secret of at least ${MIN_SECRET_LENGTH} characters` }
))

const VM = Schema.Struct({
  /** Unique in the fleet. A VM that replaces another one takes over its name. Example: `"entry-7"`. */
  name: Name,
  /** Availability zone. Example: `"riga-a"`. */
  place: Name,
  /** Endpoint to which callers connect. */
  callers: Endpoint,
  /** Endpoint to which other VMs connect. */
  peers: Endpoint
})

const LimitsDocument = Schema.Struct({
  /** Maximum total size of the headers of a request, in bytes. Default 16384. */
  headerBytes: withDefault(Positive(1_048_576, 'bytes'), 16_384),
  /** Maximum size of a request body, in bytes. Default 1073741824 (1 GiB). */
  bodyBytes: withDefault(Positive(64 * GIB, 'bytes'), GIB),
  /** Timeout for receiving the headers of a request, in ms. Default 10000. */
  headerTimeMs: withDefault(Positive(DAY_MS, 'ms'), 10_000),
  /** Idle timeout of a caller within a request, or between two requests on a connection, in ms. Default 30000. */
  idleTimeMs: withDefault(Positive(DAY_MS, 'ms'), 30_000),
  /** Maximum total time for a request and its response, in ms. Default 600000. */
  requestLimitMs: withDefault(Positive(DAY_MS, 'ms'), 600_000),
  /** Maximum number of concurrent connections of callers. Default 10000. */
  connections: withDefault(Positive(1_000_000, 'connections'), 10_000)
})

export const SettingsDocument = Schema.Struct({
  /** This VM. */
  vm: VM,
  /** Endpoint to which operators connect. Example: `{ "address": "10.0.0.7", "port": 9090 }`. */
  operators: Endpoint,
  /**
   * Endpoint at which this VM listens for other VMs, if it differs from the one that they dial, for example
   * behind network address translation. Default: `vm.peers`. Example: `{ "address": "10.0.0.7", "port": 18081 }`.
   */
  listenPeers: Schema.optionalKey(Endpoint),
  /** Bearer token for the operators' endpoint. */
  operatorToken: Secret,
  /** Key shared by all VMs of the fleet, with which they authenticate each other. */
  peerKey: Secret,
  /** Endpoint of the platform's table, object store and VM list. */
  platform: Schema.Struct({
    address: IPAddress,
    port: Port,
    /** Timeout of a call to the platform, in ms. Default 1000. */
    timeoutMs: withDefault(Positive(DAY_MS, 'ms'), 1000)
  }),
  /** VMs to contact when the platform's VM list cannot be read. Default none. */
  seeds: withDefault(Schema.Array(VM), []),
  limits: withDefault(LimitsDocument, {}),
  /** Maximum time for a graceful shutdown, in ms; at least `limits.requestLimitMs`. Default 610000. */
  stopLimitMs: withDefault(NonNegative(DAY_MS, 'ms'), 610_000)
})
