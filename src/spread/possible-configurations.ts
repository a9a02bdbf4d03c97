/** The configurations that may be in force, and their intersection. */
import { intersectConfigurations, type UsableConfiguration } from './configuration-intersection.js'
import type { ApplyNote, History } from './history.js'
import type { UndecidedNotes } from './undecided-notes.js'

/** The possible configurations: the held one, and the results of applying each undecided note that follows it. */
export interface PossibleConfigurations {
  /** The held configuration as a whole. */
  readonly held: () => UsableConfiguration
  /** The intersection; undefined if an undecided note cannot be applied to the held configuration. */
  readonly intersection: () => UsableConfiguration | undefined
}

/** Creates the possible configurations. The intersection is computed again only after a change. */
export function createPossibleConfigurations (history: Pick<History, 'current'>, undecided: UndecidedNotes, apply: ApplyNote): PossibleConfigurations {
  let heldUsable = intersectConfigurations(history.current(), [])
  let cached: { readonly version: number, readonly held: UsableConfiguration, readonly intersection: UsableConfiguration | undefined } | undefined

  const held = (): UsableConfiguration => {
    const current = history.current()
    if (heldUsable.configuration !== current) heldUsable = intersectConfigurations(current, [])
    return heldUsable
  }
  const intersect = (): UsableConfiguration | undefined => {
    const { configuration: current } = held()
    // An undecided note of a higher revision shows that this VM is behind, which the replica checks.
    const successors = undecided.notes().filter(({ revision }) => revision === current.revision + 1)
    const alternatives = successors.map(note => apply(current, note))
    if (successors.length === 0) return held()
    if (alternatives.some(result => result.isErr())) return undefined
    return intersectConfigurations(current, alternatives.flatMap(result => result.isOk() ? result.value : []))
  }
  return {
    held,
    intersection: () => {
      const version = undecided.version()
      if (cached?.version !== version || cached.held !== held()) cached = { version, held: held(), intersection: intersect() }
      return cached.intersection
    }
  }
}
