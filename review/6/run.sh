#!/bin/bash
# Requests that a leaving box takes late in its grace period. Exits with 1 if LOST was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")"
exec node run.mjs
