#!/bin/bash
cd "$(dirname "$0")/../.." && exec node review/1/run.mjs
