/**
 * Bundles the programs of the platform into target/hyssopfront-platform.cjs.
 */
import { build } from "esbuild";
import { join, resolve } from "node:path";

const ROOT = resolve(import.meta.dirname, "..");
/** Optional native addons, which cannot be bundled. The packages that load them work without when loading fails. */
const NATIVE_MODULES = ["unix-dgram", "cbor-extract"];

await build({
    entryPoints: [join(ROOT, "platform/src/main.ts")],
    outfile: join(ROOT, "target/hyssopfront-platform.cjs"),
    bundle: true,
    minify: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    conditions: ["source"],
    external: NATIVE_MODULES,
    logLevel: "warning",
});
