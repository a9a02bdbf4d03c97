/** Finds the rule for a request by host and longest path prefix. */
import type { Rule } from './model.js'

/** Rules indexed by host and path prefix. */
export interface RuleTable {
  /**
   * @param host value of the Host header, with or without port
   * @param path path without the query string
   */
  readonly find: (host: string, path: string) => Rule | undefined
  readonly knowsHost: (host: string) => boolean
}

function normaliseHost (host: string): string {
  return host.replace(/:\d+$/, '').toLowerCase()
}

/**
 * Creates an index of rules. A lookup takes one step per path segment, regardless of the number of rules.
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
    knowsHost: host => hosts.has(normaliseHost(host)),
    find: (host, path) => {
      const prefixes = hosts.get(normaliseHost(host))
      if (prefixes === undefined) return undefined
      for (let end = path.lastIndexOf('/'); end >= 0; end = end === 0 ? -1 : path.lastIndexOf('/', end - 1)) {
        const rule = prefixes.get(path.slice(0, end + 1))
        if (rule !== undefined) return rule
      }
      return undefined
    }
  }
}
