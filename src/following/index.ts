/** Synchronisation of the catalog with the store, directly or through another VM of the zone. */
export { createCatalogSync, type CatalogSync, type CatalogSyncOptions } from './catalog-sync.js'
export { isReader, readsFirstCatalog, type ReaderState } from './reader-election.js'
