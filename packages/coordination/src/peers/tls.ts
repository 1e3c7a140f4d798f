/**
 * Mutual TLS with certificates from files. Changed files are reloaded, so that certificates can be renewed without a
 * restart.
 */
import { readFile } from "node:fs/promises";
import { createSecureContext } from "node:tls";
import type { Clock } from "../clock/clock.js";
import type { Counters } from "../counters/counters.js";

/** Interval at which a listener checks whether the files have changed. */
export const TLS_RELOAD_INTERVAL_MS = 5_000;

/** Paths of PEM files. Both sides present a certificate that is signed by the certificate authority. */
export type PeerTlsFiles = {
    readonly certificateFile: string;
    readonly keyFile: string;
    readonly certificateAuthorityFile: string;
};

/** Contents of the PEM files: certificate, private key and certificate authority. */
export type TlsMaterial = { readonly cert: Buffer; readonly key: Buffer; readonly ca: Buffer };

/**
 * Reads the files and checks that the key matches the certificate.
 *
 * @throws Error when a file cannot be read or used.
 */
export async function readTlsMaterial(files: PeerTlsFiles): Promise<TlsMaterial> {
    const [cert, key, ca] = await Promise.all([
        readFile(files.certificateFile),
        readFile(files.keyFile),
        readFile(files.certificateAuthorityFile),
    ]);
    createSecureContext({ cert, key, ca });
    return { cert, key, ca };
}

/**
 * Watches the TLS files for changes.
 *
 * @param options.current Material in use, with which the files are compared.
 * @param options.onChange Called with the new material after each change of the files.
 * @returns Resolves when the signal aborts. When the new files cannot be used, the previous material stays in use.
 */
export async function watchTlsMaterial(options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly files: PeerTlsFiles;
    readonly intervalMilliseconds: number;
    readonly current: TlsMaterial;
    readonly onChange: (material: TlsMaterial) => void;
    readonly signal: AbortSignal;
}): Promise<void> {
    let current = options.current;
    while (!options.signal.aborted) {
        await options.clock.sleep(options.intervalMilliseconds, options.signal).catch(() => undefined);
        try {
            const next = await readTlsMaterial(options.files);
            if (!isSameMaterial(current, next) && !options.signal.aborted) {
                current = next;
                options.onChange(next);
                options.counters.increment("peers.tls_reloads");
            }
        }
        catch {
            options.counters.increment("peers.tls_reload_failures");
        }
    }
}

function isSameMaterial(a: TlsMaterial, b: TlsMaterial): boolean {
    return a.cert.equals(b.cert) && a.key.equals(b.key) && a.ca.equals(b.ca);
}
