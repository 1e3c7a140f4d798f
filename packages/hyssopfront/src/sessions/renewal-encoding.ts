/**
 * Wire format of session renewals and their replies.
 *
 * Each entry renews twice a second, and most of the bytes were the names of fields and budgets. Demands and grants are
 * therefore encoded as tuples, and a grant identifies its budget by the position of its demand. A later version may
 * append elements to a tuple.
 */
import { z } from "zod";
import { BudgetUnit } from "../admission/admission.js";
import { nameSchema } from "../resources/resource.js";
import {
    type QuotaDemand,
    type QuotaGrant,
    type RenewSessionReply,
    renewSessionReplySchema,
    type RenewSessionRequest,
    renewSessionRequestSchema,
    RenewSessionResult,
} from "./messages.js";

/** A unit is encoded as its position in this list, so units may only be appended. */
const UNITS = [BudgetUnit.RequestsPerSecond, BudgetUnit.BytesPerSecond, BudgetUnit.Concurrent] as const;
/** Wanted amounts from this value on are rounded up to integers, which take at most half of the bytes. */
const MINIMUM_ROUNDED_AMOUNT = 100;

const amountSchema = z.number().nonnegative();
const keySchema = z.string().max(256);

/** Demand as a tuple: key, unit, wanted, held, portion, floor, availability zone, standby. */
const demandTupleSchema = z.tuple([
    keySchema,
    z.int().min(0).max(UNITS.length - 1),
    amountSchema,
    amountSchema,
    amountSchema.optional(),
    amountSchema.optional(),
    nameSchema.optional(),
    amountSchema.optional(),
], z.unknown());
type DemandTuple = z.infer<typeof demandTupleSchema>;

/** Grant as a tuple: position of the demand (or the key when there was no demand), portion, floor, limit. */
const grantTupleSchema = z.tuple([
    z.int().nonnegative().or(keySchema),
    amountSchema,
    amountSchema.optional(),
    amountSchema.optional(),
], z.unknown());
type GrantTuple = z.infer<typeof grantTupleSchema>;

const encodedRenewalSchema = renewSessionRequestSchema.extend({
    demands: z.array(demandTupleSchema.transform(decodeDemand)).max(100_000),
});
const encodedGrantsSchema = z.looseObject({ grants: z.array(grantTupleSchema) });

/** Encodes a renewal as the payload of a peer request. */
export const encodeRenewal = (request: RenewSessionRequest): unknown => ({
    ...request,
    demands: request.demands.map(({ key, unit, wanted, held, portion, floor, availabilityZone, standby }) =>
        trimTrailingUndefined([
            key,
            UNITS.indexOf(unit),
            wanted < MINIMUM_ROUNDED_AMOUNT ? wanted : Math.ceil(wanted),
            held,
            portion,
            floor,
            availabilityZone,
            standby,
        ])
    ),
});

/**
 * Decodes the payload of a renewal.
 *
 * @throws ZodError when the payload is not a valid renewal.
 */
export const decodeRenewal = (payload: unknown): RenewSessionRequest => encodedRenewalSchema.parse(payload);

/**
 * Encodes the reply to a renewal.
 *
 * @param reply Reply of the control instance.
 * @param demands Demands of the renewal.
 * @returns Payload of the reply.
 */
export function encodeRenewalReply(reply: RenewSessionReply, demands: readonly QuotaDemand[]): unknown {
    if (reply.result !== RenewSessionResult.Renewed) {
        return reply;
    }
    const positions = new Map(demands.map(({ key }, position) => [key, position]));
    return {
        ...reply,
        grants: reply.grants.map(({ key, portion, floor, limit }) =>
            trimTrailingUndefined([positions.get(key) ?? key, portion, floor, limit])
        ),
    };
}

/**
 * Decodes the reply to a renewal.
 *
 * @param payload Received payload.
 * @param demands Demands that were sent in the renewal.
 * @returns The reply, with the key of the budget in each grant.
 * @throws ZodError when the payload is not a valid reply.
 * @throws Error when a grant refers to a demand that was not sent.
 */
export function decodeRenewalReply(payload: unknown, demands: readonly QuotaDemand[]): RenewSessionReply {
    const encoded = encodedGrantsSchema.safeParse(payload);
    return renewSessionReplySchema.parse(
        encoded.success
            ? { ...encoded.data, grants: encoded.data.grants.map(grant => decodeGrant(grant, demands)) }
            : payload,
    );
}

function decodeDemand(
    [key, unit, wanted, held, portion, floor, availabilityZone, standby]: DemandTuple,
): QuotaDemand {
    return { key, unit: UNITS[unit]!, wanted, held, portion, floor, availabilityZone, standby };
}

function decodeGrant([positionOrKey, portion, floor, limit]: GrantTuple, demands: readonly QuotaDemand[]): QuotaGrant {
    const key = typeof positionOrKey === "string" ? positionOrKey : demands[positionOrKey]?.key;
    if (key === undefined) {
        throw new Error(`A grant refers to demand ${positionOrKey}, but only ${demands.length} demands were sent.`);
    }
    return { key, portion, floor, limit };
}

const trimTrailingUndefined = (elements: readonly unknown[]): readonly unknown[] =>
    elements.slice(0, elements.findLastIndex(element => element !== undefined) + 1);
