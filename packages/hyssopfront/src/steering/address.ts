/**
 * Parses IP addresses and client CIDR blocks into 32-bit words: one word for IPv4, four for IPv6.
 */
import { isIP } from "node:net";

/** Number of 32-bit words in an IPv4 address. */
export const IPV4_WORDS = 1;
/** Number of 32-bit words in an IPv6 address. */
export const IPV6_WORDS = 4;
const WORD_BITS = 32;

/** 32-bit words of an address, most significant first. */
export type AddressWords = Uint32Array;

/** Parses a valid IPv4 address into one word. */
function parseIpv4(text: string): number {
    let word = 0;
    let octet = 0;
    for (let index = 0; index < text.length; index++) {
        const code = text.charCodeAt(index);
        if (code === 46) {
            word = word << 8 | octet;
            octet = 0;
        }
        else {
            octet = octet * 10 + code - 48;
        }
    }
    return (word << 8 | octet) >>> 0;
}

/** Parses a valid IPv6 address into four words. */
function parseIpv6(text: string): AddressWords {
    const address = text.split("%")[0] ?? "";
    const lastColon = address.lastIndexOf(":");
    const hasIpv4Suffix = address.includes(".");
    const ipv4Suffix = hasIpv4Suffix ? parseIpv4(address.slice(lastColon + 1)) : 0;
    const hexadecimal = hasIpv4Suffix
        ? `${address.slice(0, lastColon + 1)}${(ipv4Suffix >>> 16).toString(16)}:${(ipv4Suffix & 0xffff).toString(16)}`
        : address;
    const [head = "", rest] = hexadecimal.split("::");
    const before = head === "" ? [] : head.split(":");
    const after = rest === undefined || rest === "" ? [] : rest.split(":");
    const words = new Uint32Array(IPV6_WORDS);
    const setGroup = (group: string, position: number) => {
        const shift = position % 2 === 0 ? 16 : 0;
        const word = position >> 1;
        words[word] = ((words[word] ?? 0) | parseInt(group, 16) << shift) >>> 0;
    };
    before.forEach(setGroup);
    after.forEach((group, index) => setGroup(group, 8 - after.length + index));
    return words;
}

/**
 * Parses an address. An IPv4-mapped IPv6 address is parsed as the IPv4 address.
 *
 * @returns One word for IPv4, four for IPv6, or undefined when the text is not an IP address.
 */
export function parseAddress(text: string): AddressWords | undefined {
    const version = isIP(text);
    if (version === 0) {
        return undefined;
    }
    if (version === 4) {
        return Uint32Array.of(parseIpv4(text));
    }
    const words = parseIpv6(text);
    const isMapped = words[0] === 0 && words[1] === 0 && words[2] === 0xffff;
    return isMapped ? words.slice(3) : words;
}

/** A parsed CIDR block: its network address, and the prefix length in bits. */
export type ParsedBlock = { readonly words: AddressWords; readonly prefixLength: number };

/**
 * Parses a client block that the schema of the availability zone has validated. Bits after the prefix are cleared.
 *
 * @param text Block such as `10.1.0.0/16`.
 */
export function parseBlock(text: string): ParsedBlock {
    const slash = text.indexOf("/");
    const address = text.slice(0, slash);
    const prefixLength = Number(text.slice(slash + 1));
    const words = address.includes(":") ? parseIpv6(address) : Uint32Array.of(parseIpv4(address));
    return { words: words.map((word, index) => word & wordMask(prefixLength - index * WORD_BITS)), prefixLength };
}

/** Returns a mask of the most significant bits of a word. */
export function wordMask(bits: number): number {
    if (bits <= 0) {
        return 0;
    }
    return bits >= WORD_BITS ? 0xffffffff : ~(0xffffffff >>> bits) >>> 0;
}
