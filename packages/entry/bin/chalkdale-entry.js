#!/usr/bin/env node
import "../dist/bundle/main.mjs";
