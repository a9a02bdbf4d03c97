/** Types that are shared between modules. All of them are read-only. */
export type * from './clock.js'
export type * from './configuration.js'
export type * from './note.js'
export type * from './vm.js'
export type * from './mesh.js'
export type * from './platform.js'
export type * from './traffic.js'
