export * from './platform/memory-object-store.js'
