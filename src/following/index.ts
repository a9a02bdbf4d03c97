/** How a VM keeps its catalog current. */
export { createFollowing, type Following, type FollowingOptions } from './following.js'
export { isReader, type ReaderView } from './readers.js'
