// Bundles the operators' command line into one file, so that it starts fast and needs no node_modules.
import { build } from "esbuild";

const banner =
    "import { createRequire as createBundleRequire } from \"node:module\"; const require = createBundleRequire(import.meta.url);";

await build({
    entryPoints: ["packages/cli/dist/src/main.js"],
    outfile: "packages/cli/dist/bundle/main.mjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    mainFields: ["module", "main"],
    banner: { js: banner },
    legalComments: "none",
    logLevel: "warning",
    logOverride: { "import-is-undefined": "silent" },
});
