/**
 * Whether this control instance can tell that a backend server has fallen silent: another one may hear of it.
 */
import type { Clock } from "@hyssopfront/coordination";

/** An instance that has been out of reach for this long is taken for gone, in milliseconds. */
const MEMBER_TIMEOUT_MS = 30_000;

export type MemberConnectivity = {
    /** Notes which of the other instances are connected now. */
    update(others: readonly string[], connected: ReadonlySet<string>): void;
    /** Time since when every other instance that is not gone has been connected, in milliseconds. */
    fullyConnectedMilliseconds(): number;
};

export function createMemberConnectivity(clock: Clock): MemberConnectivity {
    const connectedAt = new Map<string, number>();
    let incompleteAt = clock.monotonicMilliseconds();
    return {
        update: (others, connected) => {
            const now = clock.monotonicMilliseconds();
            others.forEach(name => connectedAt.set(name, connected.has(name) ? now : connectedAt.get(name) ?? now));
            const isMissing = (name: string) =>
                !connected.has(name) && now - (connectedAt.get(name) ?? now) < MEMBER_TIMEOUT_MS;
            if (others.length === 0 || others.some(isMissing)) {
                incompleteAt = now;
            }
        },
        fullyConnectedMilliseconds: () => clock.monotonicMilliseconds() - incompleteAt,
    };
}
