/** Divides the requests of a rule over its services in proportion to their weights. */
import type { Rule } from './model.js'

/** Chooses the service of each request. */
export interface Branches {
  readonly choose: (rule: Rule) => string
}

/** Credit of each branch of a rule: what it is owed. */
interface Division {
  readonly weights: string
  readonly credits: number[]
}

/**
 * Creates a division that begins at random, so that VMs with few requests do not all begin with the
 * same branch. Over many requests each branch gets its share to within one request.
 *
 * @example
 * createBranches(Math.random).choose(rule) // 'search'
 */
export function createBranches (random: () => number): Branches {
  const divisions = new Map<string, Division>()

  const begin = ({ branches }: Rule, weights: string): Division => {
    const total = branches.reduce((sum, { weight }) => sum + weight, 0)
    return { weights, credits: branches.map(({ weight }) => weight * random() - total / (2 * branches.length)) }
  }

  const divisionOf = (rule: Rule): Division => {
    const weights = JSON.stringify(rule.branches)
    const known = divisions.get(rule.name)
    if (known?.weights === weights) return known
    const created = begin(rule, weights)
    divisions.set(rule.name, created)
    return created
  }

  return {
    choose: rule => {
      const [first] = rule.branches
      if (first === undefined) throw new Error(`rule ${rule.name} has no branch`)
      if (rule.branches.length === 1) return first.service
      const { credits } = divisionOf(rule)
      const total = rule.branches.reduce((sum, { weight }) => sum + weight, 0)
      let chosen = 0
      for (const [index, { weight }] of rule.branches.entries()) {
        credits[index] = (credits[index] ?? 0) + weight
        if ((credits[index] ?? 0) > (credits[chosen] ?? 0)) chosen = index
      }
      credits[chosen] = (credits[chosen] ?? 0) - total
      return rule.branches[chosen]?.service ?? first.service
    }
  }
}
