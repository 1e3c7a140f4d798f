/**
 * The system that serves a day: the product, or its request path with a baseline.
 */
import type { LookupEntry } from "../../caller/caller.js";
import type { PlannedInstance } from "../../deployment/plan.js";
import type { DaySchedule } from "./schedule.js";

export type DaySystem = {
    readonly entries: readonly PlannedInstance[];
    /** Base addresses for callers by entry. */
    readonly callerUrls: ReadonlyMap<string, string>;
    /** Base addresses to which the backend servers of an availability zone announce themselves. */
    announceUrlsOf(availabilityZone: string): readonly string[];
    /** False where the system has no record groups; all requests are idempotent then. */
    readonly hasRunOnce: boolean;
    lookUp(
        entry: string,
        service: string,
        availabilityZone: string,
    ): Promise<{ entries: readonly LookupEntry[]; timeToLiveSeconds: number }>;
    /** Resolves once the shift is in force. */
    declareShift(shift: DaySchedule["shift"]): Promise<void>;
    removeShift(): Promise<void>;
    /** Resolves once the system says that the availability zone is drained. */
    drain(drain: DaySchedule["drain"]): Promise<void>;
    removeDrain(): Promise<void>;
    /** Ends all instances of a region at once. */
    failRegion(region: string): Promise<void>;
    recoverRegion(region: string): Promise<void>;
    /** Sums of the counters of all entries since the start, by name with labels and by name alone. */
    readCounters(): Promise<ReadonlyMap<string, number>>;
    /** Processes that ended although the day did not end them. */
    findDeadProcesses(): readonly string[];
    stop(): Promise<void>;
};
