/** Exports for the soak test: the link that can be cut and the seeded random numbers. */
export { CuttableLink } from './faults/cuttable-link.js'
export { SeededRandom } from './faults/random.js'
