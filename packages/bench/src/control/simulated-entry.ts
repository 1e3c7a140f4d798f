/**
 * Simulated entry for the control instances: follows the configuration and renews its session, but serves no requests.
 */
import {
    type Clock,
    createPublication,
    dialPeer,
    followPublication,
    type PeerClient,
    type Publication,
} from "@hyssopfront/coordination";
import { BudgetUnit } from "hyssopfront/admission/admission.ts";
import { ALLOCATOR_TERM_KEY } from "hyssopfront/admission/entry-admission.ts";
import type { ControlInstanceSettings } from "hyssopfront/control/control-settings.ts";
import {
    PeerRequestKind,
    PeerRole,
    type QuotaDemand,
    type RenewSessionReply,
    type RenewSessionRequest,
    RenewSessionResult,
    SESSION_RENEWAL_INTERVAL_MS,
} from "hyssopfront/sessions/messages.ts";
import { decodeRenewalReply, encodeRenewal } from "hyssopfront/sessions/renewal-encoding.ts";

const CALL_TIMEOUT_MS = 1_000;

export type SimulatedEntry = {
    readonly name: string;
    readonly publication: Publication;
    readonly appliedRevision: number;
    /** Whether the lease of the last renewal still lasts, so that the entry may act on what it has applied. */
    holdsLease(): boolean;
    /** Replies to renewals in the order of arrival. */
    readonly replies: readonly RenewSessionReply[];
    /** Stops renewing the session and applying revisions, as when the entry is disconnected. */
    disconnect(): void;
    /** Reverts `disconnect`. */
    reconnect(): void;
    /** Stops renewing and ends the session at the leader, as a graceful stop does. */
    endSession(): Promise<unknown>;
    stop(): Promise<void>;
};

/**
 * Starts an entry that connects to all control instances.
 *
 * @param options.demands Returns the quota demands of the next renewal.
 */
export function startSimulatedEntry(options: {
    readonly clock: Clock;
    readonly clusterId: string;
    readonly name: string;
    readonly peerPort: number;
    readonly instances: readonly ControlInstanceSettings[];
    readonly demands?: () => readonly QuotaDemand[];
}): SimulatedEntry {
    const { clock, clusterId, name, peerPort, instances } = options;
    const incarnation = `${name}-${peerPort}`;
    const self = { clusterId, name, incarnation, role: PeerRole.Entry, availabilityZone: "zone-1" };
    const clients = new Map<string, PeerClient>(instances.map(({ name: control, address, peerPort: port }) => [
        control,
        dialPeer({ clock, address, port, self, expectedName: control }),
    ]));
    const publication = createPublication({ clock });
    const follower = followPublication({
        clock,
        publication,
        upstreams: () => instances.map(instance => instance.name),
        read: (upstream, request) =>
            clients.get(upstream)?.call(
                PeerRequestKind.ReadConfiguration,
                request,
                request.waitMilliseconds + CALL_TIMEOUT_MS,
            ) ?? Promise.reject(new Error("The control instance is unknown.")),
    });
    const stopping = new AbortController();
    const replies: RenewSessionReply[] = [];
    let frozenRevision: number | undefined;
    let isDisconnected = false;
    let leaseEndsAt = 0;
    let leader: string | undefined;
    let wake = new AbortController();

    const appliedRevision = () => frozenRevision ?? publication.revision;

    /** Returns the demand that tells the quota allocator which of its terms this entry last received. */
    const acknowledgeAllocatorTerm = (): QuotaDemand[] => {
        const renewed = replies.findLast(reply => reply.result === RenewSessionResult.Renewed);
        const grants = renewed?.result === RenewSessionResult.Renewed ? renewed.grants : [];
        return grants.filter(({ key }) => key === ALLOCATOR_TERM_KEY)
            .map(({ key, portion }) => ({ key, unit: BudgetUnit.Concurrent, wanted: 0, held: portion }));
    };

    const renewAt = async (control: string) => {
        const sentAt = clock.monotonicMilliseconds();
        const request: RenewSessionRequest = {
            entry: name,
            incarnation,
            address: "127.0.0.1",
            callerPort: peerPort + 1,
            peerPort,
            availabilityZone: "zone-1",
            isLeaving: false,
            appliedRevision: appliedRevision(),
            sentAt,
            demands: [...options.demands?.() ?? [], ...acknowledgeAllocatorTerm()],
        };
        const reply = decodeRenewalReply(
            await clients.get(control)?.call(PeerRequestKind.RenewSession, encodeRenewal(request), CALL_TIMEOUT_MS),
            request.demands,
        );
        replies.push(reply);
        if (reply.result === RenewSessionResult.Renewed) {
            leaseEndsAt = sentAt + reply.leaseMilliseconds;
            leader = control;
        }
        if (reply.result === RenewSessionResult.NotLeader) {
            leader = reply.leader;
        }
        return reply;
    };

    const renew = async () => {
        const others = instances.map(instance => instance.name).filter(control => control !== leader);
        for (const control of leader === undefined ? others : [leader, ...others]) {
            const reply = await renewAt(control).catch(() => undefined);
            if (reply !== undefined && reply.result !== RenewSessionResult.NotLeader) {
                return;
            }
        }
        leader = undefined;
    };

    const run = async () => {
        while (!stopping.signal.aborted) {
            wake = new AbortController();
            if (!isDisconnected) {
                await renew();
            }
            const signal = AbortSignal.any([stopping.signal, wake.signal]);
            await clock.sleep(SESSION_RENEWAL_INTERVAL_MS, signal).catch(() => undefined);
        }
    };
    // An entry reports an applied revision at once instead of waiting for its next renewal.
    void publication.changes.observe(() => wake.abort());
    const task = run();

    return {
        name,
        publication,
        get appliedRevision() {
            return appliedRevision();
        },
        holdsLease: () => clock.monotonicMilliseconds() < leaseEndsAt,
        replies,
        disconnect: () => {
            frozenRevision = publication.revision;
            isDisconnected = true;
        },
        reconnect: () => {
            frozenRevision = undefined;
            isDisconnected = false;
        },
        endSession: async () => {
            stopping.abort();
            await task;
            return clients.get(leader ?? "")?.call(
                PeerRequestKind.EndSession,
                { entry: name, incarnation },
                CALL_TIMEOUT_MS,
            );
        },
        stop: async () => {
            stopping.abort();
            await task;
            await follower.stop();
            await Promise.all([...clients.values()].map(client => client.close()));
        },
    };
}
