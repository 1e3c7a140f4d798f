/**
 * System under test of a day: the product, or its request path with a baseline.
 */
import type { LookupEntry } from "../../caller/caller.js";
import type { PlannedInstance } from "../../deployment/plan.js";
import type { DaySchedule } from "./schedule.js";

/** System under test, with the changes and the outage that a day schedules. */
export type DaySystem = {
    readonly entries: readonly PlannedInstance[];
    /** Base addresses for callers, by entry. */
    readonly callerUrls: ReadonlyMap<string, string>;
    /** Base addresses to which the backend servers of an availability zone announce themselves. */
    getAnnouncementUrls(availabilityZone: string): readonly string[];
    /** False if the system has no run-once groups; all requests are idempotent then. */
    readonly hasRunOnce: boolean;
    /** Looks up the entries of a service at an entry for callers of an availability zone. */
    lookUp(
        entry: string,
        service: string,
        availabilityZone: string,
    ): Promise<{ entries: readonly LookupEntry[]; timeToLiveSeconds: number }>;
    /** Resolves once the shift is in force. */
    declareShift(shift: DaySchedule["shift"]): Promise<void>;
    removeShift(): Promise<void>;
    /** Resolves once the system reports the availability zone as drained. */
    drain(drain: DaySchedule["drain"]): Promise<void>;
    removeDrain(): Promise<void>;
    /** Kills all instances of a region at once. */
    failRegion(region: string): Promise<void>;
    /** Restarts the instances of a failed region. */
    recoverRegion(region: string): Promise<void>;
    /** Sums of the counters of all entries since the start, by name with labels and by name without them. */
    readCounters(): Promise<ReadonlyMap<string, number>>;
    /** Names of instances whose process exited unexpectedly. */
    findDeadProcesses(): readonly string[];
    stop(): Promise<void>;
};
