#!/bin/bash
# Changes of a split beside requests that wait for their tenant's quota. Exits with 1 if CONFIG was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")"
exec node run.mjs
