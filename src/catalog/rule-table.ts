/** Finds the rule of a request by host and longest path prefix. */
import type { Rule } from './model.js'

/** Rules by host and prefix. */
export interface RuleTable {
  /**
   * @param host value of the Host field, with or without port
   * @param path path without query
   */
  readonly find: (host: string, path: string) => Rule | undefined
  readonly knowsHost: (host: string) => boolean
}

function hostName (host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
}

/**
 * Indexes rules. A look-up costs one step for each segment of the path, whatever the number of rules.
 *
 * @example
 * createRuleTable(rules).find('holds.example:8080', '/holds/7') // the rule of '/holds/'
 */
export function createRuleTable (rules: readonly Rule[]): RuleTable {
  const hosts = new Map<string, Map<string, Rule>>()
  for (const rule of rules) {
    const host = rule.host.toLowerCase()
    const prefixes = hosts.get(host) ?? new Map<string, Rule>()
    hosts.set(host, prefixes.set(rule.prefix, rule))
  }
  return {
    knowsHost: host => hosts.has(hostName(host)),
    find: (host, path) => {
      const prefixes = hosts.get(hostName(host))
      if (prefixes === undefined) return undefined
      for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
        const rule = prefixes.get(path.slice(0, end + 1))
        if (rule !== undefined) return rule
      }
      return undefined
    }
  }
}
