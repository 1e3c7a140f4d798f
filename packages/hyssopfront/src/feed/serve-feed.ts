/**
 * Messages that carry the changes of a feed to its readers.
 */
import { z } from "zod";
import { type ChangeFeed, type FeedBatch, type FeedReadRequest, type FeedValues } from "./change-feed.js";
import { type PackedValues, packedValuesSchema, packValues, unpackValues } from "./packed-values.js";

const batchMessageSchema = z.object({
    feedId: z.string(),
    position: z.number().int(),
    isComplete: z.boolean(),
    values: packedValuesSchema,
});
const valuesMessageSchema = z.object({ keyCount: z.number().int().nonnegative(), values: packedValuesSchema });

/** Replies to reads of a feed. */
export type FeedServer = {
    /** Reads the feed and encodes the batch. */
    read(request: FeedReadRequest, signal: AbortSignal): Promise<z.infer<typeof batchMessageSchema>>;
    /** Reads the values of keys and encodes them. */
    readValues(keys: readonly string[]): z.infer<typeof valuesMessageSchema>;
};

/** Creates the replies of a feed. A batch that several readers get is encoded once. */
export function createFeedServer(feed: ChangeFeed): FeedServer {
    const packed = new WeakMap<FeedBatch, PackedValues>();
    return {
        read: async (request, signal) => {
            const batch = await feed.read(request, signal);
            const values = packed.get(batch) ?? packValues(batch.values);
            packed.set(batch, values);
            return { ...batch, values };
        },
        readValues: keys => {
            const { keyCount, values } = feed.readValues(keys);
            return { keyCount, values: packValues(values) };
        },
    };
}

/**
 * Decodes the reply to a read of a feed.
 *
 * @throws ZodError, or the error of the decoder, if the message is malformed.
 */
export function decodeBatch(message: unknown): FeedBatch {
    const { values, ...batch } = batchMessageSchema.parse(message);
    return { ...batch, values: unpackValues(values) };
}

/** Decodes the reply to a read of values. Throws as `decodeBatch`. */
export function decodeValues(message: unknown): FeedValues {
    const { values, keyCount } = valuesMessageSchema.parse(message);
    return { keyCount, values: unpackValues(values) };
}
