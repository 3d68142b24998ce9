/** Randomized faults against real processes, checked from what callers and endpoints see. */
export * from './soak-run.js'
export * from './soak-record.js'
export * from './soak-environment.js'
export { SOAK_FAULTS } from './faults/index.js'
export { SOAK_CHECKS } from './checks/index.js'
export type { SoakFault } from './faults/soak-fault.js'
export type { SoakCheck, SoakEvidence } from './checks/soak-check.js'
