#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start: they are part of the packages of this project.
set -e
cd "$(dirname "$0")/.."
npx --no-install tsc -b
