/**
 * Bundles the programs of the platform into target/hyssopfront-platform.cjs.
 *
 * Instances restart often, and compiling the bundle is most of the time until they listen. Parts of libraries that the
 * programs do not use, and that the bundler cannot tell are unused, are therefore left out.
 */
import { build } from "esbuild";
import { join, resolve } from "node:path";

const ROOT = resolve(import.meta.dirname, "..");
/** Optional native addons, which cannot be bundled. The packages that load them work without when loading fails. */
const NATIVE_MODULES = ["unix-dgram", "cbor-extract"];

/** The main module of undici loads fetch, WebSocket and caches. The programs use connections only. */
const UNDICI_CLIENT = `
    exports.Client = require("undici/lib/dispatcher/client.js");
    exports.buildConnector = require("undici/lib/core/connect.js");
`;
/** Error messages of zod in English only; it loads those of all languages. */
const ZOD_LOCALES = `export { default as en } from "./en.js";`;

const usedParts = {
    name: "used-parts",
    setup: ({ onResolve, onLoad }) => {
        onResolve({ filter: /^undici$/ }, ({ resolveDir }) => ({
            path: "undici",
            namespace: "undici-client",
            pluginData: resolveDir,
        }));
        onLoad({ filter: /.*/, namespace: "undici-client" }, ({ pluginData }) => ({
            contents: UNDICI_CLIENT,
            resolveDir: pluginData,
        }));
        onLoad({ filter: /zod[\\/]v4[\\/]locales[\\/]index\.js$/ }, () => ({ contents: ZOD_LOCALES }));
    },
};

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
    plugins: [usedParts],
    logLevel: "warning",
});
