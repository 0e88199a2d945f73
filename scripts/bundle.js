// Bundles the entry process for the users' platform into one file, so that a start reads one file only.
// Most of a start's processor time is spent compiling this file, so unused code is left out. Node's condition
// would choose the CommonJS build of rxjs, which can't be tree-shaken.
import { fileURLToPath } from "node:url";
import { build } from "esbuild";

const requireForCommonJs =
    'import { createRequire as makeRequire } from "node:module"; const require = makeRequire(import.meta.url);';

await build({
    entryPoints: ["platform/dist/src/bramleymoord.js"],
    outfile: "target/bramleymoord.js",
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minify: true,
    conditions: ["es2015", "module"],
    mainFields: ["module", "main"],
    alias: { rxjs: fileURLToPath(new URL("../node_modules/rxjs/dist/esm/index.js", import.meta.url)) },
    banner: { js: requireForCommonJs },
});
