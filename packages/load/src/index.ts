export { CuttableLink } from './faults/cuttable-link.js'
export { SeededRandom } from './faults/random.js'
