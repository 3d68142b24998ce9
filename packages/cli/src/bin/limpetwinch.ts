#!/usr/bin/env node
/** The operators' command line; commands are found in `dist/commands`. */
import { execute, settings } from '@oclif/core'

// What runs is what was built; looking for a TypeScript runtime would only cost time at each start.
settings.enableAutoTranspile = false

await execute({ dir: import.meta.url })
