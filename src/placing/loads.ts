/** Requests that run at each target, as far as this VM knows. */
import { PROOF_LIMIT_MS, type Loads } from './messages.js'

/** What another VM said is forgotten after this time: its requests have ended, or it is gone. */
const STALE_MS = 600

/** Counts of running requests by target. */
export interface TargetLoads {
  readonly begin: (target: string) => void
  readonly end: (target: string) => void
  readonly own: (target: string) => number
  /** Own requests and those that others told of. */
  readonly total: (target: string, now: number) => number
  /** Records a success of an own request. */
  readonly prove: (target: string, now: number) => void
  /** When a request last succeeded, of this VM or another one; -Infinity if never. */
  readonly provenAt: (target: string) => number
  /** Takes what another VM says. */
  readonly take: (vm: string, loads: Loads, now: number) => void
  /** Own requests and recent successes as a message. */
  readonly pack: (now: number) => Loads
  /** Own requests alone, as a shorter message. */
  readonly packCounts: () => Loads
  readonly retain: (isKnown: (target: string) => boolean) => void
}

interface Told {
  readonly counts: ReadonlyMap<string, number>
  readonly at: number
}

/** Stands for a success that is not told. */
const NO_PROOF_MS = PROOF_LIMIT_MS + 1

/** Creates counts that start at 0. */
export function createLoads (): TargetLoads {
  const own = new Map<string, number>()
  const told = new Map<string, Told>()
  const ownProof = new Map<string, number>()
  const proof = new Map<string, number>()
  const change = (target: string, by: number): void => {
    const count = (own.get(target) ?? 0) + by
    if (count > 0) own.set(target, count)
    else own.delete(target)
  }
  return {
    begin: target => change(target, 1),
    end: target => change(target, -1),
    own: target => own.get(target) ?? 0,
    total: (target, now) => {
      let sum = own.get(target) ?? 0
      for (const { counts, at } of told.values()) if (now - at <= STALE_MS) sum += counts.get(target) ?? 0
      return sum
    },
    prove: (target, now) => {
      ownProof.set(target, now)
      proof.set(target, now)
    },
    provenAt: target => proof.get(target) ?? -Infinity,
    take: (vm, loads, now) => {
      told.set(vm, { counts: new Map(loads.map(([target, count]) => [target, count])), at: now })
      for (const [target, , agoMs] of loads) {
        if (agoMs <= PROOF_LIMIT_MS) proof.set(target, Math.max(proof.get(target) ?? -Infinity, now - agoMs))
      }
    },
    pack: now => {
      const recent = [...ownProof].filter(([, at]) => now - at <= PROOF_LIMIT_MS).map(([target]) => target)
      return [...new Set([...own.keys(), ...recent])].map(target =>
        [target, own.get(target) ?? 0, Math.min(NO_PROOF_MS, Math.round(now - (ownProof.get(target) ?? -Infinity)))] as const)
    },
    packCounts: () => [...own].map(([target, count]) => [target, count, NO_PROOF_MS] as const),
    retain: isKnown => { for (const known of [ownProof, proof]) for (const target of known.keys()) if (!isKnown(target)) known.delete(target) }
  }
}
