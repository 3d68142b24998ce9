/** The entry instance and its parts. */
export * from './peers/peer-network.js'
export * from './membership/membership.js'
export * from './ownership/ownership.js'
export * from './settings/settings-view.js'
export * from './settings/settings-follower.js'
export * from './settings/settings-writer.js'
export * from './settings/settings-history.js'
