/**
 * An entry's view of the declared configuration at one revision.
 */
import type { AvailabilityZoneSpec, DrainSpec, RegionSpec, ServiceSpec, ShiftSpec } from "../resources/resource.js";

/** Addresses and state of an entry, as the entry registered them. */
export type RegisteredEntry = {
    readonly name: string;
    readonly address: string;
    /** Port for requests and lookups of callers. */
    readonly callerPort: number;
    /** Port from which other entries pull announcements and configuration. */
    readonly peerPort: number;
    readonly availabilityZone: string;
    /** True once the entry has started a graceful stop. */
    readonly isLeaving: boolean;
};

/** Declared resources by name, and the registered entries. A view is immutable. */
export type ConfigurationView = {
    readonly revision: number;
    readonly regions: ReadonlyMap<string, RegionSpec>;
    readonly availabilityZones: ReadonlyMap<string, AvailabilityZoneSpec>;
    readonly services: ReadonlyMap<string, ServiceSpec>;
    readonly shifts: ReadonlyMap<string, ShiftSpec>;
    readonly drains: ReadonlyMap<string, DrainSpec>;
    readonly entries: ReadonlyMap<string, RegisteredEntry>;
};

/** View before the first revision was read. */
export const EMPTY_CONFIGURATION_VIEW: ConfigurationView = {
    revision: 0,
    regions: new Map(),
    availabilityZones: new Map(),
    services: new Map(),
    shifts: new Map(),
    drains: new Map(),
    entries: new Map(),
};

/** Provides the current view, and tells whether the entry holds the lease under which it may use the view. */
export type ConfigurationSource = {
    view(): ConfigurationView;
    /** True while the view lease is valid; false when the entry is cut off from the leader and runs degraded. */
    holdsViewLease(): boolean;
    /**
     * Calls the listener after each change of the view, in order of revision.
     *
     * @returns A function that removes the listener.
     */
    onChange(listener: (view: ConfigurationView) => void): () => void;
};
