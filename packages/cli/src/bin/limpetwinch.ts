#!/usr/bin/env node
/** The operators' command line; commands are found in `dist/commands`. */
import { execute, settings } from '@oclif/core'

// The built JavaScript is run; looking for a TypeScript runtime would only delay each start.
settings.enableAutoTranspile = false

await execute({ dir: import.meta.url })
