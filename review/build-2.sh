#!/bin/bash
# The stand-ins are plain JavaScript on Node alone; they need no build. Checks that they and the scripts can be read and loaded.
set -e
cd "$(dirname "$0")/.."
for file in review/[4-7]/run.mjs; do node --check "$file"; done
for file in review/kit-2/*.mjs; do node --input-type=module --eval "await import('./$file')"; done
