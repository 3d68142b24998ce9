/** The entry instance and its parts. */
export * from './peers/peer-network.js'
export * from './membership/membership.js'
export * from './ownership/ownership.js'
export * from './settings/settings-view.js'
