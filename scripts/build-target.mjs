// Bundles the platform's program from its sources into target/, which is all that a box needs.
import { build } from "esbuild";

const packages = ["kernel", "runtime", "decisions", "box"];

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: "target/chalkdale-box.cjs",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    mainFields: ["module", "main"],
    alias: Object.fromEntries(packages.map(name => [`@chalkdale/${name}`, `./packages/${name}/src/index.ts`])),
    minify: true,
    keepNames: false,
    legalComments: "none",
    logLevel: "warning",
    logOverride: { "import-is-undefined": "silent", "empty-import-meta": "silent" },
    metafile: true,
});
