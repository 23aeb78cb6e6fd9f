#!/bin/bash
# The stand-ins are plain JavaScript on Node alone; they need no build. Checks that they and the box program are there.
set -e
cd "$(dirname "$0")/.."
for file in review/standins/*.mjs review/*/run.mjs; do node --check "$file"; done
test -s target/chalkdale-box.cjs
