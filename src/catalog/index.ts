/** Routes and targets as this VM knows them. */
export { createBranches, type Branches } from './branches.js'
export { createCatalog, type Catalog } from './catalog.js'
export { createRuleTable, type RuleTable } from './rule-table.js'
export {
  SECTIONS, type Batch, type Branch, type CallerLimits, type Change, type Entry, type Listing, type Pool, type Rule, type Ruleset, type Section
} from './model.js'
