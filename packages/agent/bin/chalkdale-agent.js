#!/usr/bin/env -S node --max-semi-space-size=1 --max-old-space-size=48
import "../dist/bundle/main.mjs";
