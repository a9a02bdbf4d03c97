/** The store that keeps what outlives the VMs. */
export type { Store, StoreFailure } from './store.js'
