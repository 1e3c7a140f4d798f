/**
 * Validates the structure of a CBOR item before it is decoded.
 *
 * `cbor-x` decodes recursively and allocates arrays of the declared length, so a short malicious item could exhaust the
 * stack or the memory. The scan is iterative, and its allocations do not grow with a declared length.
 */

/** Deepest nesting of arrays and maps in a frame; far deeper than any message of this project. */
export const MAXIMUM_NESTING = 64;

enum MajorType {
    Unsigned = 0,
    Negative = 1,
    Bytes = 2,
    Text = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
    Simple = 7,
}

/**
 * Checks that bytes are exactly one CBOR item. Tags and items of indefinite length are rejected, since the encoder of
 * this package writes none.
 *
 * @param bytes The encoded item.
 * @returns The reason for the rejection, or undefined when the bytes are one item within the limits.
 */
export function findCborFault(bytes: Buffer): string | undefined {
    // Number of items still expected at each open nesting level. Level 0 expects the one outer item.
    const remainingItems = [1];
    let position = 0;
    while (remainingItems.length > 0) {
        const level = remainingItems.length - 1;
        if (remainingItems[level] === 0) {
            remainingItems.pop();
            continue;
        }
        remainingItems[level] = (remainingItems[level] ?? 0) - 1;
        if (position >= bytes.length) {
            return "The item is incomplete.";
        }
        const initialByte = bytes[position] ?? 0;
        const majorType: MajorType = initialByte >> 5;
        const additionalInformation = initialByte & 31;
        if (majorType === MajorType.Tag) {
            return "Tags are not accepted.";
        }
        if (additionalInformation > 27) {
            return "Items of indefinite length and reserved items are not accepted.";
        }
        const argumentBytes = additionalInformation < 24 ? 0 : 1 << (additionalInformation - 24);
        if (position + 1 + argumentBytes > bytes.length) {
            return "The item is incomplete.";
        }
        const argument = readArgument(bytes, position + 1, additionalInformation, argumentBytes);
        position += 1 + argumentBytes;
        const remainingBytes = bytes.length - position;
        if (majorType === MajorType.Bytes || majorType === MajorType.Text) {
            if (argument > remainingBytes) {
                return "A string is longer than the item.";
            }
            position += argument;
        }
        else if (majorType === MajorType.Array || majorType === MajorType.Map) {
            const children = majorType === MajorType.Map ? argument * 2 : argument;
            if (children > remainingBytes) {
                return "A collection is longer than the item.";
            }
            if (remainingItems.length > MAXIMUM_NESTING) {
                return `Collections are nested more than ${MAXIMUM_NESTING} deep.`;
            }
            remainingItems.push(children);
        }
    }
    return position === bytes.length ? undefined : "Bytes follow the item.";
}

function readArgument(bytes: Buffer, position: number, additionalInformation: number, argumentBytes: number): number {
    if (argumentBytes === 0) {
        return additionalInformation;
    }
    if (argumentBytes === 8) {
        // Exact up to 2^53, which is far above any length that the checks accept.
        return bytes.readUInt32BE(position) * 2 ** 32 + bytes.readUInt32BE(position + 4);
    }
    return bytes.readUIntBE(position, argumentBytes);
}
