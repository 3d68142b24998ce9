#!/usr/bin/env node
/** Starts the command line interface of the load and experiment tool. */
import { execute } from '@oclif/core'
import { LimpetwinchError } from '@limpetwinch/core'

if (process.env['UV_USE_IO_URING'] !== undefined && process.env['UV_USE_IO_URING'] !== '0') {
  process.stderr.write(`${new LimpetwinchError('forbidden-environment').message}\n`)
  process.exit(1)
}

await execute({ dir: import.meta.url })
