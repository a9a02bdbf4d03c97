/** The rules and targets that this VM knows. */
export { createTrafficSplitter, type TrafficSplitter } from './traffic-splitter.js'
export { createCatalog, type Catalog } from './catalog.js'
export { createStoreVersion, eraOf, MAX_ERA, rowVersionOf, type StoreVersion } from './store-version.js'
export { createRuleTable, type RuleTable } from './rule-table.js'
export {
  SECTIONS, type Batch, type Branch, type CallerLimits, type Change, type Entry, type Listing, type Pool, type Rule, type Ruleset, type Section
} from './model.js'
