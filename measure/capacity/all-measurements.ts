/** All capacity measurements, in the order of docs/CAPACITY.md. */
import { addressResponseByVMs } from './addresses.js'
import { admissionByConfiguredServices, admissionByServedServices, admissionByTargets } from './admission.js'
import { configurationByRoutes, configurationByServices, configurationByTargets, retainedNotesByCount } from './configuration.js'
import { coordinationByMembers, coordinationByServices, coordinationByTargets } from './coordination.js'
import { catalogByTargets, catalogByRules, logByLineRate, placingByTargets } from './edge.js'
import type { Measurement } from './measurement.js'
import { linksByVMs, membershipByVMs, periodicWorkByVMs } from './membership.js'
import { tenantHistogramsByCount } from './metrics.js'
import { noteApplicationByRoutes, noteApplicationByTargets } from './notes.js'
import { claimCallsByRate, headPollsByVMs } from './platform.js'
import { routeTable } from './routes.js'
import { subsetChoiceByVMs, subsetsByServices } from './subsets.js'

/** The measurements run sequentially, because each one reads the heap of the whole process. */
export const measurements: readonly Measurement[] = [
  configurationByTargets,
  configurationByServices,
  configurationByRoutes,
  retainedNotesByCount,
  noteApplicationByRoutes,
  noteApplicationByTargets,
  routeTable,
  subsetChoiceByVMs,
  subsetsByServices,
  addressResponseByVMs,
  coordinationByTargets,
  coordinationByMembers,
  coordinationByServices,
  admissionByServedServices,
  admissionByConfiguredServices,
  admissionByTargets,
  membershipByVMs,
  periodicWorkByVMs,
  linksByVMs,
  tenantHistogramsByCount,
  claimCallsByRate,
  headPollsByVMs,
  catalogByTargets,
  catalogByRules,
  placingByTargets,
  logByLineRate
]
