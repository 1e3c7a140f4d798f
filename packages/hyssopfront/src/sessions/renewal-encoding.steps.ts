import { Given, Then, When } from "@cucumber/cucumber";
import { createFrameDecoder, encodeFrame } from "@hyssopfront/coordination";
import fc from "fast-check";
import assert from "node:assert/strict";
import { z } from "zod";
import { BudgetUnit } from "../admission/admission.js";
import { type QuotaDemand, type RenewSessionRequest, RenewSessionResult } from "./messages.js";
import { decodeRenewal, decodeRenewalReply, encodeRenewal, encodeRenewalReply } from "./renewal-encoding.js";

const transmitInFrame = (message: unknown) => {
    const decoder = createFrameDecoder(z.unknown());
    decoder.append(encodeFrame(message));
    return decoder.next();
};
const withDemands = (demands: QuotaDemand[]): RenewSessionRequest => ({
    entry: "entry-1",
    incarnation: "1",
    address: "127.0.0.1",
    callerPort: 9_000,
    peerPort: 9_001,
    availabilityZone: "sibiu-1",
    isLeaving: false,
    appliedRevision: 7,
    demands,
});
const renewed = (grants: unknown) => ({
    result: RenewSessionResult.Renewed,
    leaseMilliseconds: 5_000,
    revision: 7,
    grants,
});
const asJson = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

const amount = fc.double({ min: 0, max: 1e12, noNaN: true }).map(value => value === 0 ? 0 : value);
const optionalAmount = fc.option(amount, { nil: undefined });
const demand = fc.record({
    key: fc.string({ minLength: 1, maxLength: 40 }),
    unit: fc.constantFrom(...Object.values(BudgetUnit)),
    wanted: amount,
    held: amount,
    portion: optionalAmount,
    floor: optionalAmount,
    availabilityZone: fc.constantFrom("sibiu-1", undefined),
    standby: optionalAmount,
}, { noNullPrototype: true });
const grantArbitrary = (key: string) =>
    fc.record({ key: fc.constant(key), portion: amount, floor: optionalAmount, limit: optionalAmount }, {
        noNullPrototype: true,
    });

let seed: number;
let failure: unknown;

const captureFailure = (decode: () => unknown) => {
    try {
        failure = undefined;
        decode();
    }
    catch (error) {
        failure = error;
    }
};

Given("random renewals with seed {int}", (fixed: number) => {
    seed = fixed;
    process.stdout.write(`seed ${seed}\n`);
});

Then("each demand and each grant is decoded unchanged, except for wanted amounts that are rounded up", () => {
    const demands = fc.uniqueArray(demand, { selector: ({ key }) => key, maxLength: 12 });
    const exchange = demands.chain(sent =>
        fc.record({
            sent: fc.constant(sent),
            grants: fc.tuple(...sent.map(({ key }) => grantArbitrary(key)), grantArbitrary("not demanded")),
        })
    );
    fc.assert(
        fc.property(exchange, ({ sent, grants }) => {
            const decoded = decodeRenewal(transmitInFrame(encodeRenewal(withDemands(sent))));
            const expected = sent.map(one => ({
                ...one,
                wanted: one.wanted < 100 ? one.wanted : Math.ceil(one.wanted),
            }));
            assert.deepEqual(asJson(decoded), asJson(withDemands(expected)));
            const reply = { ...renewed(grants), result: RenewSessionResult.Renewed as const, grants };
            const decodedReply = decodeRenewalReply(transmitInFrame(encodeRenewalReply(reply, decoded.demands)), sent);
            assert.deepEqual(asJson(decodedReply), asJson(reply));
        }),
        { seed, numRuns: 300 },
    );
});

When(
    "a reply with a grant for demand {int} reaches an entry that sent {int} demands",
    (position: number, count: number) => {
        const demands = Array.from({ length: count }, (_, index) => ({
            key: `slots/stoc/stoc-${index}`,
            unit: BudgetUnit.Concurrent,
            wanted: 1,
            held: 1,
        }));
        captureFailure(() => decodeRenewalReply(renewed([[position, 1]]), demands));
    },
);

When("a renewal with the unit {int} reaches the leader", (unit: number) => {
    captureFailure(() => decodeRenewal({ ...withDemands([]), demands: [["slots/stoc/stoc-1", unit, 1, 1]] }));
});

Then("decoding fails because {string}", (reason: string) => {
    assert.ok(failure instanceof Error && failure.message.includes(reason), String(failure));
});
