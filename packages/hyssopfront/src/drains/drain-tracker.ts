/**
 * State of each declared drain on this entry.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { AnnouncementSource } from "../announcements/announcement.js";
import type { ConfigurationSource, ConfigurationView, RegisteredEntry } from "../configuration/configuration-view.js";
import type { DrainSpec, Location } from "../resources/resource.js";
import { checkCapacity } from "./capacity.js";
import { DrainPhase } from "./drain-phase.js";
import {
    coversAvailabilityZone,
    coversBackendServer,
    coversLocation,
    type DrainTarget,
    type LocatedBackendServer,
} from "./drain-target.js";

/** Minimum interval between two capacity checks of a drain. Announcements are renewed every 500 ms. */
const CAPACITY_CHECK_INTERVAL_MS = 200;

/** State of one declared drain on this entry. */
export type DrainState = {
    readonly phase: DrainPhase;
    /** Share of the load that this entry no longer sends to the target, from 0 to 1. */
    readonly share: number;
    /** Reason why the drain is rejected or paused, or `undefined` in the other phases. */
    readonly reason: string | undefined;
    /** True when the drain is not complete after its declared deadline. */
    readonly isOverdue: boolean;
};

/** Share of the load to keep away from a target, from 0 (not drained) to 1 (completely drained). */
export type DrainShares = {
    /** Returns the share for a backend server. */
    backendServerShare(backendServer: LocatedBackendServer): number;
    /** Returns the share for an availability zone or a region. */
    locationShare(location: Location): number;
    /** Returns the share for callers of an entry, which is 1 for an entry that is leaving. */
    entryShare(entry: RegisteredEntry): number;
};

export type DrainTracker = DrainShares & {
    /** Returns the state of a drain, or `undefined` when no drain with this name is declared. */
    state(drain: string): DrainState | undefined;
    /** Unsubscribes from configuration changes. */
    close(): void;
};

export type DrainTrackerOptions = {
    readonly clock: Clock;
    readonly configuration: ConfigurationSource;
    readonly announcements: Pick<AnnouncementSource, "backendServers">;
};

type TrackedDrain = {
    readonly spec: DrainSpec;
    readonly declaredAt: number;
    phase: DrainPhase;
    share: number;
    reason: string | undefined;
};

/**
 * Creates a tracker of the declared drains. It has no timer: the shares are updated from the clock when they are read.
 *
 * A drain in the first received configuration is treated as complete. Its start is unknown, and a restarted entry must
 * not send requests to targets that were already drained.
 *
 * @param options Clock, and the sources of configuration and announcements.
 * @returns The tracker. Call `close` when it is no longer needed.
 */
export function createDrainTracker({ clock, configuration, announcements }: DrainTrackerOptions): DrainTracker {
    let view = configuration.view();
    let hasReceivedView = false;
    let drains = new Map<string, TrackedDrain>();
    let lastAdvanceAt = -Infinity;

    const trackDrain = (spec: DrainSpec, now: number): TrackedDrain => ({
        spec,
        declaredAt: now,
        phase: hasReceivedView ? DrainPhase.Rejected : DrainPhase.Complete,
        share: hasReceivedView ? 0 : 1,
        reason: undefined,
    });

    const applyView = (changed: ConfigurationView) => {
        const now = clock.monotonicMilliseconds();
        advance(now);
        view = changed;
        drains = new Map([...changed.drains].map(([name, spec]) => {
            const existing = drains.get(name);
            const isSame = existing !== undefined && JSON.stringify(existing.spec) === JSON.stringify(spec);
            return [name, isSame ? existing : trackDrain(spec, now)];
        }));
        hasReceivedView ||= changed.revision > 0;
        lastAdvanceAt = now;
        drains.forEach((drain, name) => advanceOne(name, drain, 0));
    };

    const otherTargets = (name: string): DrainTarget[] =>
        [...drains].filter(([other, { share }]) => other !== name && share > 0).map(([, { spec }]) => spec.target);

    const advanceOne = (name: string, drain: TrackedDrain, elapsed: number) => {
        if (drain.phase === DrainPhase.Complete) {
            return;
        }
        const { target } = drain.spec;
        const capacity = checkCapacity({
            view,
            target,
            otherTargets: otherTargets(name),
            backendServers: announcements.backendServers,
        });
        if (!capacity.hasCapacity) {
            drain.phase = drain.share > 0 ? DrainPhase.Paused : DrainPhase.Rejected;
            drain.reason = capacity.reason;
            return;
        }
        const wasBlocked = drain.phase !== DrainPhase.Running;
        drain.reason = undefined;
        drain.share = Math.min(1, drain.share + shareIncrease(drain.spec, wasBlocked ? 0 : elapsed));
        drain.phase = drain.share === 1 ? DrainPhase.Complete : DrainPhase.Running;
    };

    const advance = (now: number) => {
        const elapsed = now - lastAdvanceAt;
        if (elapsed < CAPACITY_CHECK_INTERVAL_MS) {
            return;
        }
        lastAdvanceAt = now;
        drains.forEach((drain, name) => advanceOne(name, drain, elapsed));
    };

    /** Returns the largest share among the drains whose target matches, or 0 when none does. */
    const largestShare = (covers: (target: DrainTarget) => boolean) => {
        if (drains.size === 0) {
            return 0;
        }
        advance(clock.monotonicMilliseconds());
        let largest = 0;
        drains.forEach(({ spec, share }) => {
            largest = share > largest && covers(spec.target) ? share : largest;
        });
        return largest;
    };

    const state = (name: string) => {
        const now = clock.monotonicMilliseconds();
        advance(now);
        const drain = drains.get(name);
        if (drain === undefined) {
            return undefined;
        }
        const { phase, share, reason, declaredAt, spec } = drain;
        const deadlineAt = declaredAt + (spec.deadlineSeconds ?? Infinity) * 1_000;
        return { phase, share, reason, isOverdue: phase !== DrainPhase.Complete && now > deadlineAt };
    };

    const unsubscribe = configuration.onChange(applyView);
    applyView(view);
    return {
        backendServerShare: server => largestShare(target => coversBackendServer(view, target, server)),
        locationShare: location => largestShare(target => coversLocation(view, target, location)),
        entryShare: ({ availabilityZone, isLeaving }) =>
            isLeaving ? 1 : largestShare(target => coversAvailabilityZone(view, target, availabilityZone)),
        state,
        close: unsubscribe,
    };
}

/**
 * Computes the share of the load that moves within the elapsed milliseconds. The drain of one backend server ignores
 * the pace and completes immediately, because the backend server must receive no new requests after 2 s.
 */
function shareIncrease({ target, paceSeconds }: DrainSpec, elapsed: number): number {
    return "backendServer" in target || paceSeconds === 0 ? 1 : elapsed / (paceSeconds * 1_000);
}
