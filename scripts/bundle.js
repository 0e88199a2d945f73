// Bundles the entry process for the users' platform into one file, so that a start reads one file only.
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
    minifySyntax: true,
    minifyWhitespace: true,
    keepNames: false,
    banner: { js: requireForCommonJs },
});
