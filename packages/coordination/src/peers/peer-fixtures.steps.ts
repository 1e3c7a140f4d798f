/**
 * Shared helpers of the steps in this folder.
 */
import assert from "node:assert/strict";
import { createPrivateKey, generateKeyPairSync, type KeyObject, sign } from "node:crypto";
import { createSystemClock } from "../clock/system-clock.js";
import type { Counters } from "../counters/counters.js";
import type { PeerIdentity } from "./peer.js";

export const clock = createSystemClock();

export const createIdentity = (name: string, changes: Partial<PeerIdentity> = {}): PeerIdentity => ({
    clusterId: "sibiu",
    name,
    incarnation: "1",
    role: "test",
    availabilityZone: "zone-1",
    ...changes,
});

export const waitFor = async (isDone: () => boolean) => {
    for (let attempt = 0; !isDone(); attempt += 1) {
        assert.ok(attempt < 4_000, "The condition was not met in time.");
        await clock.sleep(5);
    }
};

export const settle = (work: Promise<unknown>) => work.catch((error: unknown) => error);

export const createTestCounters = () => {
    const counts = new Map<string, number>();
    const counters: Counters = {
        increment: (name, amount = 1) => counts.set(name, (counts.get(name) ?? 0) + amount),
        gauge: () => undefined,
    };
    return { counts, counters };
};

/** Encodes one element in DER, with a content of at most 65,535 bytes. */
const der = (tag: number, ...contents: Buffer[]): Buffer => {
    const content = Buffer.concat(contents);
    const { length } = content;
    const head = length < 128 ? [tag, length] : [tag, 0x82, length >> 8, length & 255];
    return Buffer.concat([Buffer.from(head), content]);
};
/** Encodes an object identifier, whose content is given in hexadecimal. */
const oid = (hex: string) => der(0x06, Buffer.from(hex, "hex"));
const distinguishedName = (name: string) =>
    der(0x30, der(0x31, der(0x30, oid("550403"), der(0x0c, Buffer.from(name)))));
const utcTime = (offset: number) =>
    der(0x17, Buffer.from(`${new Date(Date.now() + offset).toISOString().replace(/[-:T]|\..*/g, "").slice(2)}Z`));
const extension = (id: string, value: Buffer) => der(0x30, oid(id), der(0x04, value));

export type CertificateAuthority = { readonly name: string; readonly key: KeyObject; readonly certificate: string };

/** Issues an X.509 certificate that is valid for a day. Without an authority, it is a self-signed authority. */
export const issueCertificate = (name: string, authority?: CertificateAuthority) => {
    const { privateKey, publicKey } = generateKeyPairSync("ec", { namedCurve: "P-256" });
    // ecdsa-with-SHA256
    const algorithm = der(0x30, oid("2a8648ce3d040302"));
    const day = 86_400_000;
    // The basic constraints of an authority, or the alternative names of a peer.
    const extensions = authority === undefined
        ? extension("551d13", der(0x30, der(0x01, Buffer.of(0xff))))
        : extension("551d11", der(0x30, der(0x82, Buffer.from(name)), der(0x87, Buffer.of(127, 0, 0, 1))));
    const body = der(
        0x30,
        der(0xa0, der(0x02, Buffer.of(2))),
        der(0x02, Buffer.of(1)),
        algorithm,
        distinguishedName(authority?.name ?? name),
        der(0x30, utcTime(-day), utcTime(day)),
        distinguishedName(name),
        publicKey.export({ type: "spki", format: "der" }),
        der(0xa3, der(0x30, extensions)),
    );
    const signature = sign("sha256", body, authority?.key ?? privateKey);
    const encoded = der(0x30, body, algorithm, der(0x03, Buffer.of(0), signature)).toString("base64");
    const certificate = `-----BEGIN CERTIFICATE-----\n${encoded}\n-----END CERTIFICATE-----\n`;
    const pem = privateKey.export({ type: "pkcs8", format: "pem" }) as string;
    return { name, key: createPrivateKey(pem), pem, certificate };
};
