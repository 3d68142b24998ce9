// Starts a deployment of stand-ins: the product's own by default, those of the users' platform with --platform.
import './prepare-workspace.mjs'

const platform = process.argv.includes('--platform')
await import(platform ? '../platform/dist/bin/limpetwinch-develop-platform.js' : '../packages/stand-ins/dist/bin/limpetwinch-develop.js')
