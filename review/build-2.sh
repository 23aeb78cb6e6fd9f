#!/bin/bash
# The stand-ins are plain JavaScript on Node alone; they need no build. Checks that they can be read.
set -e
cd "$(dirname "$0")/.."
for file in review/kit-2/*.mjs review/[4-8]/run.mjs; do [ ! -e "$file" ] || node --check "$file"; done
