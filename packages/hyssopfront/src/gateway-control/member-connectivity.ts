/**
 * Tracks whether this control instance is connected to all others. Only then can it conclude that a backend server is
 * lost, because otherwise another instance may be receiving its heartbeats.
 */
import type { Clock } from "@hyssopfront/coordination";

/** An instance that has been disconnected for this long is assumed to be removed, in milliseconds. */
const MEMBER_REMOVAL_TIMEOUT_MS = 30_000;

/** Connectivity of one control instance to the others. */
export type MemberConnectivity = {
    /** Updates which of the other instances are connected. */
    update(others: readonly string[], connected: ReadonlySet<string>): void;
    /** Returns for how long all other instances that are not removed have been connected, in milliseconds. */
    fullyConnectedMilliseconds(): number;
};

/** Creates the tracker. Connectivity counts as incomplete until this call. */
export function createMemberConnectivity(clock: Clock): MemberConnectivity {
    const connectedAt = new Map<string, number>();
    let incompleteAt = clock.monotonicMilliseconds();
    return {
        update: (others, connected) => {
            const now = clock.monotonicMilliseconds();
            others.forEach(name => connectedAt.set(name, connected.has(name) ? now : connectedAt.get(name) ?? now));
            const isMissing = (name: string) =>
                !connected.has(name) && now - (connectedAt.get(name) ?? now) < MEMBER_REMOVAL_TIMEOUT_MS;
            if (others.length === 0 || others.some(isMissing)) {
                incompleteAt = now;
            }
        },
        fullyConnectedMilliseconds: () => clock.monotonicMilliseconds() - incompleteAt,
    };
}
