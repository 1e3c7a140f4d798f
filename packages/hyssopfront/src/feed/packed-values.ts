/**
 * Encoding of the values of one reply. Records and routes repeat their field names and most of their content, so a reply
 * takes a fraction of its size when it is compressed.
 */
import { decode, encode } from "cbor-x";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { z } from "zod";
import { type FeedValue, feedValueSchema } from "./change-feed.js";

/** Size below which compression saves too little, in bytes. */
const MINIMUM_COMPRESSED_BYTES = 256;
/** Longest encoded list of values, in bytes; bounds the memory that a compressed reply can occupy. */
const MAXIMUM_UNPACKED_BYTES = 4 * 1024 * 1024;

/** Encoded list of values. */
export const packedValuesSchema = z.object({
    bytes: z.instanceof<typeof Uint8Array<ArrayBufferLike>>(Uint8Array),
    isCompressed: z.boolean(),
});

export type PackedValues = z.infer<typeof packedValuesSchema>;

const valuesSchema = z.array(feedValueSchema);

/** Encodes values, compressed if they are long. */
export function packValues(values: readonly FeedValue[]): PackedValues {
    const encoded = encode(values);
    const isCompressed = encoded.length >= MINIMUM_COMPRESSED_BYTES;
    return { bytes: isCompressed ? deflateRawSync(encoded) : encoded, isCompressed };
}

/**
 * Decodes values.
 *
 * @throws ZodError or the error of the decoder if the bytes are not a list of values.
 */
export function unpackValues({ bytes, isCompressed }: PackedValues): readonly FeedValue[] {
    const encoded = isCompressed ? inflateRawSync(bytes, { maxOutputLength: MAXIMUM_UNPACKED_BYTES }) : bytes;
    return valuesSchema.parse(decode(encoded));
}
