import { Given, Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { z } from "zod";
import { createFrameDecoder, encodeFrame, FrameError, MAXIMUM_FRAME_BYTES } from "./frames.js";

const schema = z.object({ id: z.number(), text: z.string(), list: z.array(z.unknown()) });
const message = fc.record({
    // CBOR integers have no negative zero.
    id: fc.double({ noNaN: true, noDefaultInfinity: true }).map(id => id === 0 ? 0 : id),
    text: fc.string({ unit: "grapheme" }),
    list: fc.array(fc.oneof(fc.integer(), fc.string(), fc.boolean(), fc.array(fc.integer()))),
}, { noNullPrototype: true });

let seed: number;
let failure: unknown;

const decodeAll = (chunks: readonly Buffer[]) => {
    const decoder = createFrameDecoder(schema);
    return chunks.flatMap(chunk => {
        decoder.append(chunk);
        const values = [];
        for (let value = decoder.next(); value !== undefined; value = decoder.next()) {
            values.push(value);
        }
        return values;
    });
};

const catchError = (work: () => unknown) => {
    try {
        work();
        return undefined;
    }
    catch (error) {
        return error;
    }
};

const frameOf = (body: Buffer) => {
    const prefix = Buffer.alloc(4);
    prefix.writeUInt32BE(body.length);
    return Buffer.concat([prefix, body]);
};

Given("random messages with seed {int}", (fixed: number) => {
    seed = fixed;
    process.stdout.write(`seed ${seed}\n`);
});

Then("each message is decoded unchanged for every split of its bytes", () => {
    fc.assert(
        fc.property(fc.array(message, { minLength: 1, maxLength: 3 }), messages => {
            const stream = Buffer.concat(messages.map(value => encodeFrame(value)));
            for (let split = 0; split <= stream.length; split += 1) {
                assert.deepEqual(decodeAll([stream.subarray(0, split), stream.subarray(split)]), messages);
            }
            const bytes = Array.from(stream, (_, index) => stream.subarray(index, index + 1));
            assert.deepEqual(decodeAll(bytes), messages);
        }),
        { seed, numRuns: 60 },
    );
});

Then("corrupted streams yield values of the schema or a FrameError", () => {
    const corruption = fc.record({ at: fc.nat(), byte: fc.integer({ min: 0, max: 255 }) });
    let rejected = 0;
    fc.assert(
        fc.property(message, fc.array(corruption, { minLength: 1, maxLength: 4 }), (value, corruptions) => {
            const stream = encodeFrame(value);
            corruptions.forEach(({ at, byte }) => stream.writeUInt8(byte, 4 + at % (stream.length - 4)));
            const error = catchError(() => decodeAll([stream]).forEach(decoded => schema.parse(decoded)));
            assert.ok(error === undefined || error instanceof FrameError, String(error));
            rejected += error === undefined ? 0 : 1;
        }),
        { seed, numRuns: 3_000 },
    );
    assert.ok(rejected > 0);
});

When(/^the frame body ([0-9a-f]*) is decoded$/, (hex: string) => {
    failure = catchError(() => decodeAll([frameOf(Buffer.from(hex, "hex"))]));
});

When("only the length prefix {int} has arrived", (length: number) => {
    assert.equal(length, MAXIMUM_FRAME_BYTES + 1);
    failure = catchError(() => decodeAll([frameOf(Buffer.alloc(length)).subarray(0, 4)]));
});

When("an array nested {int} deep is decoded", (depth: number) => {
    failure = catchError(() => decodeAll([frameOf(Buffer.concat([Buffer.alloc(depth, 0x81), Buffer.of(0)]))]));
});

Then("the frame is rejected as {string}", (fault: string) => {
    assert.ok(failure instanceof FrameError, String(failure));
    assert.equal(failure.fault, fault);
});

Then(
    "a value nested {int} deep and a value of {int} bytes cannot be encoded",
    (depth: number, length: number) => {
        const nested = Array.from({ length: depth }).reduce<unknown>(inner => [inner], 0);
        assert.throws(() => encodeFrame(nested), FrameError);
        assert.throws(() => encodeFrame(Buffer.alloc(length)), FrameError);
    },
);
