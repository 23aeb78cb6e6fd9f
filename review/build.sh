#!/bin/bash
# The stand-ins are plain JavaScript on Node alone; they need no build. Checks that they can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/*.mjs review/*/run.mjs; do node --check "$file"; done
