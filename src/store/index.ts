/** Interface of the persistent store, which outlives the VMs. */
export type { Store, StoreFailure } from './store.js'
