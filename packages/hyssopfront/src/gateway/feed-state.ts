/**
 * State that an entry has received through the change feeds of the control instances.
 */
import type { Counters } from "@hyssopfront/coordination";
import { decode } from "cbor-x";
import { type Item, ItemKind, type Route } from "../catalog/items.js";
import { errorFields, EventLevel, type EventLog } from "../event-log/event-log.js";
import type { FeedBatch, FeedValue } from "../feed/change-feed.js";
import { FeedKey } from "../gateway-control/messages.js";
import { type BackendRecord, backendRecordSchema, recordVersionSchema } from "../registry/backend-record.js";
import type { BackendServers } from "./backend-servers.js";
import type { CatalogView } from "./catalog-view.js";

/** Changes of one batch that are logged one by one, so that a long change does not delay requests. */
const MAXIMUM_LOGGED_CHANGES = 40;

/** The state received from all control instances. */
export type FeedState = {
    /** Returns true for a value that was sent as a version only and is newer than the known one. */
    isMissing(feedValue: FeedValue): boolean;
    /** Applies a batch of changes of one control instance. A value that cannot be applied is logged and left out. */
    apply(batch: FeedBatch, controlInstance: string): void;
    /** True once a control instance has sent all changes that were acknowledged before that instance started. */
    readonly isComplete: boolean;
    /** Entries that share the backend servers, this one included: the highest count that a control instance reports. */
    entryCount(): number;
    /** Names of all control instances that any control instance lists as members. */
    controlInstanceNames(): readonly string[];
};

/** Fields of a route that decide where its requests go and how long they may take, for the log. */
const routeLogFields = (
    { services, timeoutMilliseconds, latencyObjectiveMilliseconds, maximumAttempts, homeRegions }: Route,
) => ({ services, timeoutMilliseconds, latencyObjectiveMilliseconds, maximumAttempts, homeRegions });

/** Creates the state, which applies what it receives to the catalog and the backend servers. */
export function createFeedState(options: {
    readonly log: EventLog;
    readonly counters: Counters;
    readonly catalog: CatalogView;
    readonly servers: BackendServers;
}): FeedState {
    const { log, counters, catalog, servers } = options;
    const entryCounts = new Map<string, number>();
    const members = new Map<string, readonly string[]>();
    let isComplete = false;

    /** Changes of the current batch that were applied. */
    let appliedChanges = 0;
    const logChange = (event: string, fields: Readonly<Record<string, unknown>>) => {
        appliedChanges += 1;
        if (appliedChanges <= MAXIMUM_LOGGED_CHANGES) {
            log(EventLevel.Info, event, fields);
        }
    };

    const mergeItem = (item: Item) => {
        if (catalog.merge(item)) {
            const { kind, name, version, value } = item;
            const routing = value?.kind === ItemKind.Route ? routeLogFields(value.route) : {};
            logChange("catalog item applied", { kind, name, version, isDropped: value === undefined, ...routing });
        }
    };
    const mergeRecord = (record: BackendRecord) => {
        if (servers.merge(record)) {
            const { id, service, state, sequence, startedAt, coldMilliseconds } = record;
            logChange("backend server changed", {
                server: id,
                service,
                state,
                sequence,
                startedAt,
                coldMilliseconds,
            });
        }
    };
    const mergeValue = (key: string, value: unknown, controlInstance: string) => {
        if (key.startsWith(FeedKey.Item)) {
            mergeItem(value as Item);
        }
        else if (key.startsWith(FeedKey.BackendServer)) {
            mergeRecord(backendRecordSchema.parse(value));
        }
        else if (key === FeedKey.EntryCount) {
            entryCounts.set(controlInstance, Number(value));
        }
        else if (key === FeedKey.Members) {
            members.set(controlInstance, value as readonly string[]);
        }
    };

    /** One value that cannot be applied must not keep the others, nor the feed, from being followed. */
    const applyValue = ({ key, value }: FeedValue, controlInstance: string) => {
        try {
            if (value !== undefined) {
                mergeValue(key, decode(value), controlInstance);
            }
        }
        catch (error) {
            counters.increment("feeds.invalid_values");
            log(EventLevel.Error, "value of the feed not applied", {
                key,
                control: controlInstance,
                ...errorFields(error),
            });
        }
    };

    return {
        isMissing: ({ key, value, version }) => {
            if (value !== undefined) {
                return false;
            }
            if (key.startsWith(FeedKey.Item)) {
                return Number(version) > catalog.getVersion(key.slice(FeedKey.Item.length));
            }
            const recordVersion = recordVersionSchema.safeParse(version);
            return !recordVersion.success
                || servers.isNewer(key.slice(FeedKey.BackendServer.length), recordVersion.data);
        },
        apply: (batch, controlInstance) => {
            appliedChanges = 0;
            batch.values.forEach(feedValue => applyValue(feedValue, controlInstance));
            if (appliedChanges > MAXIMUM_LOGGED_CHANGES) {
                const notLogged = appliedChanges - MAXIMUM_LOGGED_CHANGES;
                log(EventLevel.Info, "long batch applied", {
                    control: controlInstance,
                    changes: appliedChanges,
                    notLogged,
                });
            }
            if (batch.isComplete && !isComplete) {
                isComplete = true;
                log(EventLevel.Info, "catalog complete", { control: controlInstance, items: catalog.items().length });
            }
        },
        get isComplete() {
            return isComplete;
        },
        entryCount: () => Math.max(1, ...entryCounts.values()),
        controlInstanceNames: () => [...new Set([...members.values()].flat())],
    };
}
