import { fileURLToPath } from 'node:url'
import { defineConfig } from 'vitest/config'

const packages = ['core', 'decisions', 'entry', 'cli', 'stand-ins', 'load', 'ingress', 'soak']

/** Tests run on the sources of the packages; only tests that start processes use what was built. */
export default defineConfig({
  resolve: {
    alias: [...packages.map((name) => [name, `packages/${name}`]), ['platform', 'platform']].map(([name, folder]) => ({
      find: new RegExp(`^@limpetwinch/${name}$`),
      replacement: fileURLToPath(new URL(`${folder}/src/index.ts`, import.meta.url))
    }))
  },
  test: {
    setupFiles: ['./vitest.setup.ts'],
    include: ['packages/*/test/**/*.test.ts', 'platform/test/**/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 4
  }
})
