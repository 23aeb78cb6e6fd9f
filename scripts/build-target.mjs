// Bundles the platform's program from its sources into target/, which is all that a box needs.
import { build } from "esbuild";
import { renameSync } from "node:fs";

const packages = ["kernel", "runtime", "decisions", "box"];
const program = "target/chalkdale-box.cjs";
// The bundle is written beside the program and takes its place whole: a box that started from a half-written file would find
// it empty and end with status 0.
const unfinished = `${program}.${process.pid}`;

await build({
    entryPoints: ["platform/src/main.ts"],
    outfile: unfinished,
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
renameSync(unfinished, program);
