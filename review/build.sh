#!/usr/bin/env bash
# The stand-ins of the cases are plain JavaScript without dependencies: nothing is compiled, each file is only checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins/*.mjs [1-5]/*.mjs; do node --check "$file"; done
[ -f ../target/limpetwinch-ingress.cjs ] || { echo 'target/limpetwinch-ingress.cjs is missing: run the build of deploy/system.toml first' >&2; exit 2; }
