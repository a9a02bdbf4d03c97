/** Splits the requests of a rule among its services in proportion to their weights. */
import type { Rule } from './model.js'

/** Chooses the service for each request. */
export interface TrafficSplitter {
  readonly chooseService: (rule: Rule) => string
}

/** State of the smooth weighted round-robin of one rule; `credits` holds the current weight of each branch. */
interface SplitState {
  readonly weights: string
  readonly credits: number[]
}

/**
 * Creates a splitter that uses smooth weighted round-robin. The initial credits are random, so that VMs
 * with few requests do not all start with the same branch. Over many requests each branch gets its
 * share to within one request.
 *
 * @example
 * createTrafficSplitter(Math.random).chooseService(rule) // 'search'
 */
export function createTrafficSplitter (random: () => number): TrafficSplitter {
  const states = new Map<string, SplitState>()

  const createState = ({ branches }: Rule, weights: string): SplitState => {
    const total = branches.reduce((sum, { weight }) => sum + weight, 0)
    return { weights, credits: branches.map(({ weight }) => weight * random() - total / (2 * branches.length)) }
  }

  const stateOf = (rule: Rule): SplitState => {
    const weights = JSON.stringify(rule.branches)
    const existing = states.get(rule.name)
    if (existing?.weights === weights) return existing
    const created = createState(rule, weights)
    states.set(rule.name, created)
    return created
  }

  return {
    chooseService: rule => {
      const [first] = rule.branches
      if (first === undefined) throw new Error(`rule ${rule.name} has no branches`)
      if (rule.branches.length === 1) return first.service
      const { credits } = stateOf(rule)
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
