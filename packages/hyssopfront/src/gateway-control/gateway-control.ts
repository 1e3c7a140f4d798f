/**
 * A control instance of the gateway, as the programs that start and call it see it.
 */
import type { AddressWait, Clock, Counters } from "@hyssopfront/coordination";
import type { Item } from "../catalog/items.js";
import type { EntryReport } from "../entry-selection/connected-entries.js";
import type { EventLog } from "../event-log/event-log.js";
import type { BackendAnnouncement } from "../registry/backend-record.js";
import type { EvacuationOrder } from "./evacuation-orders.js";

/** Dependencies and settings of a control instance. */
export type GatewayControlOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly log: EventLog;
    readonly random: () => number;
    readonly address: string;
    readonly peerPort: number;
    /** How to wait for the peer port while it is in use. Default: the start fails at once. */
    readonly addressWait?: AddressWait;
    readonly availabilityZone: string;
    readonly getRegion: (availabilityZone: string) => string;
    /** All regions with callers. */
    readonly regions: readonly string[];
    readonly dataFolder: string;
    /** True when the whole deployment is bootstrapped on empty disks. */
    readonly isFirstStart: boolean;
    /** Returns the addresses of some control instances from the current settings. */
    readonly seedAddresses: () => readonly string[];
    /** Target number of voters of the replicated catalog. */
    readonly voterCount: number;
    /** Interval at which backend servers send announcements, in milliseconds. */
    readonly heartbeatMilliseconds: number;
};

/** A running control instance. */
export type GatewayControl = {
    /**
     * Processes an announcement of a backend server.
     *
     * @returns False when it cannot be acknowledged, because too few control instances hold it.
     */
    receiveAnnouncement(announcement: BackendAnnouncement): Promise<boolean>;
    /**
     * Processes the departure of a backend server. Once acknowledged, it stays in force when all control instances
     * restart.
     *
     * @param id Identifier of the backend server.
     * @param startedAt Start time in Unix milliseconds, or `undefined` when the backend server did not send it.
     * @returns False when it cannot be acknowledged, because too few control instances hold it or it is not stored.
     */
    receiveDeparture(id: string, startedAt: number | undefined): Promise<boolean>;
    /**
     * Changes items of the catalog.
     *
     * @returns The reason why the change is invalid, or `undefined` when it is accepted.
     * @throws ItemTooLargeError when an item is too large to be stored.
     * @throws CatalogUnavailableError when the outcome is unknown at the deadline.
     */
    changeItems(items: readonly Item[], deadlineMilliseconds: number): Promise<string | undefined>;
    /**
     * Sets whether an availability zone is evacuated, unless the caller has left.
     *
     * @param order.isCallerWaiting Returns false once the caller has closed its connection.
     * @throws CallerLeftError when the caller has left before the order was submitted, otherwise as `changeItems`.
     */
    setEvacuation(order: EvacuationOrder, deadlineMilliseconds: number): Promise<void>;
    /**
     * Returns the items that are neither deleted nor evacuations, with all acknowledged changes. Throws as
     * `changeItems`.
     */
    readItems(deadlineMilliseconds: number): Promise<readonly Item[]>;
    /** Returns the entries that a caller in a region should use for a host. */
    findEntries(host: string, callerRegion: string): readonly EntryReport[];
    /** Returns the names of the voters that this instance knows. */
    voters(): readonly string[];
    /**
     * Transfers the leadership if it is held here, gives up its place in the group if a successor has caught up, and
     * stops. Calls in progress reject after 1 s, outcome unknown.
     */
    stop(): Promise<void>;
};
