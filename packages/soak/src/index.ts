/** Soak tests: random faults on deployments of real processes, checked against what callers and endpoints observe. */
export * from './soak-run.js'
export * from './soak-record.js'
export * from './soak-environment.js'
export { SOAK_FAULTS } from './faults/index.js'
export { SOAK_CHECKS } from './checks/index.js'
export type { SoakFault } from './faults/soak-fault.js'
export type { SoakCheck, SoakEvidence } from './checks/soak-check.js'
