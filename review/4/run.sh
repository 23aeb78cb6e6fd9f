#!/bin/bash
# A server hands out bytes that are no answer. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")"
exec node run.mjs
