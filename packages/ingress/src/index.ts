/** Ingress instance that routes requests to shared endpoints, and the interfaces that a platform implements for it. */
export * from './routes/configuration.js'
export * from './relay/request-codec.js'
export type { StatedRateLimit } from './rate-limits/stated-rate-limit.js'
export * from './teams/key-digest.js'
export * from './adapters/engine-control.js'
export * from './runtime/ingress-settings.js'
export * from './runtime/ingress-platform.js'
export * from './runtime/ingress-instance.js'
