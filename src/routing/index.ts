/** Routing: the service of a request, the subset of VMs that serves a service, and their addresses for callers. */
export { createRouteTable, type RouteTable } from './route-table.js'
export { chooseSubset, defaultSubsetSize } from './subset.js'
export { rendezvousScore } from './rendezvous.js'
export { createSubsets, type Subsets } from './subsets.js'
export { listAddresses, ADDRESSES_PATH, KEEP_ADDRESSES_MS, type AddressResponse, type AddressQuery } from './addresses.js'
