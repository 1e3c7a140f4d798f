/**
 * Renewals and their answers on the wire.
 *
 * An entry renews twice a second, and the names of the fields and of the budgets were most of the bytes. Demands and
 * grants are therefore tuples, and a grant names its budget by the position of its demand. A later version may add
 * elements at the end of a tuple.
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

/** The position of a unit stands for it on the wire; only append to this list. */
const UNITS = [BudgetUnit.RequestsPerSecond, BudgetUnit.BytesPerSecond, BudgetUnit.Concurrent] as const;
/** From here on a wanted amount is sent as a whole number, which takes half of the bytes or less. */
const MINIMUM_ROUNDED_AMOUNT = 100;

const amountSchema = z.number().nonnegative();
const keySchema = z.string().max(256);

/** Key, unit, wanted, held, portion, floor, availability zone, standby. */
const demandFrameSchema = z.tuple([
    keySchema,
    z.int().min(0).max(UNITS.length - 1),
    amountSchema,
    amountSchema,
    amountSchema.optional(),
    amountSchema.optional(),
    nameSchema.optional(),
    amountSchema.optional(),
], z.unknown());
type DemandFrame = z.infer<typeof demandFrameSchema>;

/** Position of the demand, or the key when it was not demanded; portion, floor, limit. */
const grantFrameSchema = z.tuple([
    z.int().nonnegative().or(keySchema),
    amountSchema,
    amountSchema.optional(),
    amountSchema.optional(),
], z.unknown());
type GrantFrame = z.infer<typeof grantFrameSchema>;

const requestFrameSchema = renewSessionRequestSchema.extend({
    demands: z.array(demandFrameSchema.transform(decodeDemand)).max(100_000),
});
const grantsFrameSchema = z.looseObject({ grants: z.array(grantFrameSchema) });

/** Payload of a renewal. */
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

/** @throws ZodError when the payload is not a renewal. */
export const decodeRenewal = (payload: unknown): RenewSessionRequest => requestFrameSchema.parse(payload);

/** Payload of the answer to a renewal with these demands. */
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
 * @param demands Those of the renewal that the payload answers.
 * @throws ZodError when the payload is not an answer.
 * @throws Error when a grant names a demand that was not sent.
 */
export function decodeRenewalReply(payload: unknown, demands: readonly QuotaDemand[]): RenewSessionReply {
    const frame = grantsFrameSchema.safeParse(payload);
    return renewSessionReplySchema.parse(
        frame.success
            ? { ...frame.data, grants: frame.data.grants.map(grant => decodeGrant(grant, demands)) }
            : payload,
    );
}

function decodeDemand(
    [key, unit, wanted, held, portion, floor, availabilityZone, standby]: DemandFrame,
): QuotaDemand {
    return { key, unit: UNITS[unit]!, wanted, held, portion, floor, availabilityZone, standby };
}

function decodeGrant([budget, portion, floor, limit]: GrantFrame, demands: readonly QuotaDemand[]): QuotaGrant {
    const key = typeof budget === "string" ? budget : demands[budget]?.key;
    if (key === undefined) {
        throw new Error(`A grant names demand ${budget}, and ${demands.length} were sent.`);
    }
    return { key, portion, floor, limit };
}

const trimTrailingUndefined = (elements: readonly unknown[]): readonly unknown[] =>
    elements.slice(0, elements.findLastIndex(element => element !== undefined) + 1);
