/**
 * Finds the control leader and calls it for tokens.
 */
import type { Clock } from "@hyssopfront/coordination";
import { ControlRequestKind } from "../../gateway-control/messages.js";
import {
    type AccountGrant,
    CALL_TIMEOUT_MS,
    type LeaseTokensReply,
    leaseTokensReplySchema,
    type LeaseTokensRequest,
} from "./quota-messages.js";

/** Connections of an entry to the control instances. */
export type ControlConnections = {
    /** Names of the connected control instances, the nearest first. */
    connected(): readonly string[];
    /** Calls one of them. Rejects if it is not connected, at the deadline, or with its failure. */
    call(name: string, kind: string, payload: unknown, deadlineMilliseconds: number): Promise<unknown>;
};

/** Grants of the leader with its name, or the reason why none has replied. */
export type LeaseResult =
    | { readonly leader: string; readonly accounts: readonly AccountGrant[] }
    | { readonly leader: undefined; readonly error: string };

/** Calls to the leader. */
export type LeaderCalls = {
    /** Sends a call. Resolves with the reply of the leader, or with the failure after `CALL_TIMEOUT_MS` at the latest. */
    lease(request: LeaseTokensRequest): Promise<LeaseResult>;
};

/** Creates the calls. The leader is unknown until the first one. */
export function createLeaderCalls(clock: Clock, controls: ControlConnections): LeaderCalls {
    let leader: string | undefined;
    /** Calls without success since a leader has replied last; each asks another instance. */
    let failures = 0;

    const call = async (name: string, request: LeaseTokensRequest, endsAt: number): Promise<LeaseTokensReply> => {
        const deadline = Math.max(1, endsAt - clock.monotonicMilliseconds());
        return leaseTokensReplySchema.parse(
            await controls.call(name, ControlRequestKind.LeaseTokens, request, deadline),
        );
    };
    /** Calls an instance, and then the leader that it names. */
    const follow = async (name: string, request: LeaseTokensRequest, endsAt: number): Promise<LeaseResult> => {
        const reply = await call(name, request, endsAt);
        if (reply.accounts !== undefined) {
            return { leader: name, accounts: reply.accounts };
        }
        if (reply.leader === undefined || reply.leader === name) {
            return { leader: undefined, error: `${name} knows no leader` };
        }
        const { accounts } = await call(reply.leader, request, endsAt);
        return accounts === undefined
            ? { leader: undefined, error: `${reply.leader}, which ${name} names, does not lead` }
            : { leader: reply.leader, accounts };
    };

    return {
        lease: async request => {
            const endsAt = clock.monotonicMilliseconds() + CALL_TIMEOUT_MS;
            const connected = controls.connected();
            const name = leader !== undefined && connected.includes(leader)
                ? leader
                : connected[failures % connected.length];
            const result = name === undefined
                ? { leader: undefined, error: "no control instance is connected" }
                : await follow(name, request, endsAt).catch((error: unknown): LeaseResult => ({
                    leader: undefined,
                    error: error instanceof Error ? error.message : String(error),
                }));
            leader = result.leader;
            failures = leader === undefined ? failures + 1 : 0;
            return result;
        },
    };
}
