/**
 * Implements the operator API on a control instance.
 */
import type { Clock, Replica } from "@hyssopfront/coordination";
import { BatchKind } from "@hyssopfront/coordination";
import type { OperatorApiBackend, ResourceWithStatus, WatchBatch, WatchEvent } from "../operator-api/messages.js";
import { ENTRIES_COLLECTION } from "../resources/resource-state.js";
import { COLLECTION_NAMES, type Resource, ResourceKind } from "../resources/resource.js";
import type { ChangeRouter } from "./change-router.js";
import { describeConditions, describeDrainConditions, type InForceStatus } from "./in-force.js";
import type { MainGroup } from "./main-group.js";

/** Interval at which a watch whose revision is ahead of this instance checks whether the instance has caught up. */
const CATCH_UP_POLL_INTERVAL_MS = 100;

/** Operators need the status most when there is no leader, so it does not wait long for one. */
const STATUS_DEADLINE_MS = 500;

const KIND_NAMES: ReadonlyMap<string, string> = new Map([
    ...Object.values(ResourceKind).map(kind => [COLLECTION_NAMES[kind], kind] as const),
    [ENTRIES_COLLECTION, "Entry"],
]);

const toEvent = (key: string, revision: number, value: unknown): WatchEvent => {
    const [collection = "", name = ""] = key.split("/");
    const kind = KIND_NAMES.get(collection) ?? collection;
    return value === undefined
        ? { type: "delete", revision, kind, name }
        : { type: "put", revision, kind, name, resource: value };
};

/** Creates the backend of the operator API. It serves reads and watches from the local replica of the main group. */
export function createOperatorApiBackend(options: {
    readonly clock: Clock;
    readonly self: string;
    readonly mainGroup: MainGroup;
    readonly replicas: () => ReadonlyMap<string, Replica>;
    readonly router: ChangeRouter;
    readonly connectedPeers: () => readonly string[];
}): OperatorApiBackend {
    const { clock, mainGroup, router } = options;
    const { state, publication } = mainGroup;

    const addStatus = (resource: Resource, inForce: InForceStatus | undefined): ResourceWithStatus => {
        const { kind, name, revision } = resource;
        const conditions = describeConditions(revision, state.acceptedAt(kind, name), inForce);
        const drainConditions = kind === ResourceKind.Drain ? describeDrainConditions(name, inForce) : [];
        return { ...resource, status: { conditions: [...conditions, ...drainConditions] } };
    };

    const read = async (kind: ResourceKind, name: string | undefined, isFresh: boolean) => {
        const inForce = isFresh ? await router.readBarrier() : undefined;
        const resources = name === undefined ? state.list(kind) : [state.get(kind, name)];
        return {
            revision: state.configurationRevision,
            items: resources.filter(resource => resource !== undefined).map(resource => addStatus(resource, inForce)),
        };
    };

    const watch = async (after: number, waitMilliseconds: number, signal: AbortSignal): Promise<WatchBatch> => {
        const deadline = clock.monotonicMilliseconds() + waitMilliseconds;
        const remaining = () => Math.max(0, deadline - clock.monotonicMilliseconds());
        // A client that was served by an instance with a later revision waits until this instance has caught up.
        while (after > publication.revision && remaining() > 0 && !signal.aborted) {
            await clock.sleep(Math.min(CATCH_UP_POLL_INTERVAL_MS, remaining()), signal).catch(() => undefined);
        }
        if (signal.aborted || after > publication.revision) {
            return { isTooOld: false, revision: after, events: [] };
        }
        if (after < publication.oldestRevision) {
            return { isTooOld: true, oldestRevision: publication.oldestRevision };
        }
        try {
            const batch = await publication.read(after, remaining(), signal);
            return batch.kind === BatchKind.Snapshot
                ? { isTooOld: true, oldestRevision: publication.oldestRevision }
                : {
                    isTooOld: false,
                    revision: batch.revision,
                    events: batch.items.map(item => toEvent(item.key, item.revision, item.value)),
                };
        }
        catch (error) {
            if (signal.aborted) {
                return { isTooOld: false, revision: after, events: [] };
            }
            throw error;
        }
    };

    const status = async () => {
        const inForce = await router.readBarrier(STATUS_DEADLINE_MS).catch(() => undefined);
        return {
            instance: options.self,
            configurationRevision: state.configurationRevision,
            inForce,
            entries: state.entries(),
            connectedPeers: options.connectedPeers(),
            groups: [...options.replicas()].map(([groupId, replica]) => {
                const { failure, ...rest } = replica.status();
                return { groupId, ...rest, failure: failure?.message };
            }),
        };
    };

    return {
        propose: command => router.propose({ command }),
        read,
        watch,
        status,
        removeEntry: name => router.propose({ removeEntry: name }),
    };
}
