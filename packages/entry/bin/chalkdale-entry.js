#!/usr/bin/env -S node --max-semi-space-size=8
import "../dist/bundle/main.mjs";
