/**
 * How far each declared drain has come on this entry.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { AnnouncementSource } from "../announcements/announcement.js";
import type { ConfigurationSource, ConfigurationView, RegisteredEntry } from "../configuration/configuration-view.js";
import type { DrainSpec, Place } from "../resources/resource.js";
import { checkCapacity } from "./capacity.js";
import { DrainPhase } from "./drain-phase.js";
import {
    coversAvailabilityZone,
    coversBackendServer,
    coversPlace,
    type DrainTarget,
    type LocatedBackendServer,
} from "./drain-target.js";

/** Interval at which running drains look for room again; announcements are renewed every 500 ms. */
const CAPACITY_CHECK_INTERVAL_MS = 200;

export type DrainState = {
    readonly phase: DrainPhase;
    /** Part of the load that goes elsewhere, 0 to 1. */
    readonly share: number;
    /** Why the drain is refused or paused. */
    readonly reason: string | undefined;
    /** True when the drain is not complete although its declared deadline has passed. */
    readonly isOverdue: boolean;
};

/** Says which part of the work that would go to something goes elsewhere: 0 when it is not drained, 1 when it is. */
export type DrainShares = {
    backendServerShare(backendServer: LocatedBackendServer): number;
    placeShare(place: Place): number;
    /** 1 for an entry that is leaving. */
    entryShare(entry: RegisteredEntry): number;
};

export type DrainTracker = DrainShares & {
    /** State of a declared drain; undefined when none has this name. */
    state(drain: string): DrainState | undefined;
    /** Ends the subscription to the configuration. */
    close(): void;
};

export type DrainTrackerOptions = {
    readonly clock: Clock;
    readonly configuration: ConfigurationSource;
    readonly announcements: Pick<AnnouncementSource, "backendServers">;
};

type RunningDrain = {
    readonly spec: DrainSpec;
    readonly declaredAt: number;
    phase: DrainPhase;
    share: number;
    reason: string | undefined;
};

/**
 * Creates a tracker of the drains in a configuration. Drains advance with the clock, whenever they are asked about.
 *
 * A drain that is already in the first configuration counts as complete, because its start is not known, and a
 * restarted entry must not send work back to what was drained.
 */
export function createDrainTracker({ clock, configuration, announcements }: DrainTrackerOptions): DrainTracker {
    let view = configuration.view();
    let hasView = false;
    let drains = new Map<string, RunningDrain>();
    let advancedAt = -Infinity;

    const startDrain = (spec: DrainSpec, now: number): RunningDrain => ({
        spec,
        declaredAt: now,
        phase: hasView ? DrainPhase.Refused : DrainPhase.Complete,
        share: hasView ? 0 : 1,
        reason: undefined,
    });

    const applyView = (changed: ConfigurationView) => {
        const now = clock.monotonicMilliseconds();
        advance(now);
        view = changed;
        drains = new Map([...changed.drains].map(([name, spec]) => {
            const known = drains.get(name);
            const isSame = known !== undefined && JSON.stringify(known.spec) === JSON.stringify(spec);
            return [name, isSame ? known : startDrain(spec, now)];
        }));
        hasView ||= changed.revision > 0;
        advancedAt = now;
        drains.forEach((drain, name) => advanceOne(name, drain, 0));
    };

    const otherTargets = (name: string): DrainTarget[] =>
        [...drains].filter(([other, { share }]) => other !== name && share > 0).map(([, { spec }]) => spec.target);

    const advanceOne = (name: string, drain: RunningDrain, elapsed: number) => {
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
            drain.phase = drain.share > 0 ? DrainPhase.Paused : DrainPhase.Refused;
            drain.reason = capacity.reason;
            return;
        }
        const wasBlocked = drain.phase !== DrainPhase.Running;
        drain.reason = undefined;
        drain.share = Math.min(1, drain.share + shareIncrease(drain.spec, wasBlocked ? 0 : elapsed));
        drain.phase = drain.share === 1 ? DrainPhase.Complete : DrainPhase.Running;
    };

    const advance = (now: number) => {
        const elapsed = now - advancedAt;
        if (elapsed < CAPACITY_CHECK_INTERVAL_MS) {
            return;
        }
        advancedAt = now;
        drains.forEach((drain, name) => advanceOne(name, drain, elapsed));
    };

    /** Largest share of the drains whose target covers something. */
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
        placeShare: place => largestShare(target => coversPlace(view, target, place)),
        entryShare: ({ availabilityZone, isLeaving }) =>
            isLeaving ? 1 : largestShare(target => coversAvailabilityZone(view, target, availabilityZone)),
        state,
        close: unsubscribe,
    };
}

/**
 * Part of the load that moves in a time. The drain of one backend server takes effect at once, because it must receive
 * no new work within 2 s whatever its pace.
 */
function shareIncrease({ target, paceSeconds }: DrainSpec, elapsed: number): number {
    return "backendServer" in target || paceSeconds === 0 ? 1 : elapsed / (paceSeconds * 1_000);
}
