#!/usr/bin/env node
/** The operators' command line; commands are found in `dist/commands`. */
import { execute } from '@oclif/core'

await execute({ dir: import.meta.url })
