// Bundles each program into one file, so that it starts fast and needs no node_modules.
import { build } from "esbuild";

const programs = ["agent", "entry", "cli"];
const banner =
    "import { createRequire as createBundleRequire } from \"node:module\"; const require = createBundleRequire(import.meta.url);";

await Promise.all(programs.map(program =>
    build({
        entryPoints: [`packages/${program}/dist/src/main.js`],
        outfile: `packages/${program}/dist/bundle/main.mjs`,
        bundle: true,
        platform: "node",
        target: "node20",
        format: "esm",
        mainFields: ["module", "main"],
        banner: { js: banner },
        legalComments: "none",
        logLevel: "warning",
        logOverride: { "import-is-undefined": "silent" },
    })
));
