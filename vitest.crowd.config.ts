import { mergeConfig } from 'vitest/config'
import base from './vitest.config.js'

/** The tests with crowds of callers measure the memory of one process, so they run one at a time. */
export default mergeConfig({ ...base, test: { ...base.test, include: [], maxWorkers: 1 } }, {
  test: { include: ['packages/*/test/**/*.crowd.test.ts', 'platform/test/**/*.crowd.test.ts'] }
})
