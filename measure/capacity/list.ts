/** All capacity measurements, in the order of the page. */
import { addresses } from './addresses.js'
import { admissionByConfigured, admissionByServed, admissionByTargets } from './admission.js'
import { configurationRoutes, configurationServices, configurationTargets, heldNotes } from './configuration.js'
import { coordinationByMembers, coordinationByServices, coordinationByTargets } from './coordination.js'
import { catalogByListings, catalogByRules, logByLines, placingByTargets } from './edge.js'
import type { Measurement } from './measurement.js'
import { linksByVMs, membershipByVMs, periodicByVMs } from './membership.js'
import { tenants } from './metrics.js'
import { noteByRoutes, noteByTargets } from './notes.js'
import { claims, headPolls } from './platform.js'
import { routeTable } from './routes.js'
import { subsetChoice, subsetsOfAllServices } from './subsets.js'

/** Run one after the other, because each reads the heap of the whole process. */
export const measurements: readonly Measurement[] = [
  configurationTargets,
  configurationServices,
  configurationRoutes,
  heldNotes,
  noteByRoutes,
  noteByTargets,
  routeTable,
  subsetChoice,
  subsetsOfAllServices,
  addresses,
  coordinationByTargets,
  coordinationByMembers,
  coordinationByServices,
  admissionByServed,
  admissionByConfigured,
  admissionByTargets,
  membershipByVMs,
  periodicByVMs,
  linksByVMs,
  tenants,
  claims,
  headPolls,
  catalogByListings,
  catalogByRules,
  placingByTargets,
  logByLines
]
