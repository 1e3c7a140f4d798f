/**
 * Bundles the command line into one file and builds a single executable application from it: dist/hyssopfront.
 */
import { build } from "esbuild";
import { execFileSync } from "node:child_process";
import { chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { join, resolve } from "node:path";

const ROOT = resolve(import.meta.dirname, "..");
const OUTPUT = join(ROOT, "dist");
const BUNDLE = join(OUTPUT, "hyssopfront.cjs");
const BLOB = join(OUTPUT, "hyssopfront.blob");
const BINARY = join(OUTPUT, "hyssopfront");
/** Marks the position in the Node executable at which the blob is injected. The value is defined by Node. */
const SENTINEL_FUSE = "NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2";

/** Optional native addons, which cannot be bundled. The packages that load them work without when loading fails. */
const NATIVE_MODULES = /^(unix-dgram|cbor-extract)$/;
const excludeNativeModules = {
    name: "exclude-native-modules",
    setup: plugin => {
        plugin.onResolve({ filter: NATIVE_MODULES }, ({ path }) => ({ path, namespace: "excluded" }));
        plugin.onLoad({ filter: /.*/, namespace: "excluded" }, ({ path }) => ({
            contents: `throw new Error("${path} is not part of the binary.");`,
        }));
    },
};

const version = JSON.parse(readFileSync(join(ROOT, "package.json"), "utf8")).version;
mkdirSync(OUTPUT, { recursive: true });
rmSync(BINARY, { force: true });
await build({
    entryPoints: [join(ROOT, "packages/hyssopfront/src/main.ts")],
    outfile: BUNDLE,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    conditions: ["source"],
    define: { "process.env.HYSSOPFRONT_VERSION": JSON.stringify(version) },
    plugins: [excludeNativeModules],
    logLevel: "warning",
});
const configurationFile = join(OUTPUT, "sea-config.json");
writeFileSync(configurationFile, JSON.stringify({ main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true }));
execFileSync(process.execPath, ["--experimental-sea-config", configurationFile], { stdio: "inherit" });
copyFileSync(process.execPath, BINARY);
execFileSync(process.execPath, [
    join(ROOT, "node_modules/postject/dist/cli.js"),
    BINARY,
    "NODE_SEA_BLOB",
    BLOB,
    "--sentinel-fuse",
    SENTINEL_FUSE,
], { stdio: "inherit" });
chmodSync(BINARY, 0o755);
