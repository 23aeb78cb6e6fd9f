#!/usr/bin/env node
import { existsSync } from "node:fs";

const bundle = new URL("../dist/bundle/main.mjs", import.meta.url);

if (existsSync(bundle)) {
    await import(bundle.href);
}
else {
    process.stderr.write("chalkdale: not built yet; run: npm ci && npm run build\n");
    process.exitCode = 1;
}
