/**
 * Operators that change resources and read them back, and observers of the state of entries.
 */
import { request } from "undici";
import type { ChangeRecord, EntryRecord, ReadRecord } from "../checker/history.js";

export type OperatorRecords = { readonly changes: ChangeRecord[]; readonly reads: ReadRecord[] };

const REQUEST_TIMEOUT_MS = 5_000;
const RETRY_PAUSE_MS = 50;

type ResourceResponse = {
    readonly revision?: number;
    readonly spec?: unknown;
    readonly status?: { readonly conditions: readonly { readonly type: string; readonly status: string }[] };
};

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

/** One request to one control instance to change a resource. */
export type ChangeRequest = Pick<ChangeRecord, "requestId" | "object" | "expectedRevision" | "spec" | "instance">;

/**
 * Sends one PUT, or one DELETE if the change has no spec, and records the change.
 *
 * @param address Address of the instance's operator API, such as `127.0.0.1:7202`.
 * @param abortsEarly Closes the connection before the response arrives.
 */
export async function sendChange(
    records: OperatorRecords,
    address: string,
    change: ChangeRequest,
    abortsEarly = false,
): Promise<ChangeRecord> {
    const sentAt = performance.now();
    let status: number | undefined;
    let revision: number | undefined;
    try {
        const response = await request(`http://${address}/v1/${change.object}`, {
            method: change.spec === undefined ? "DELETE" : "PUT",
            headers: {
                "request-id": change.requestId,
                "if-match": `"${change.expectedRevision}"`,
                ...change.spec === undefined ? {} : { "content-type": "application/json" },
            },
            body: change.spec === undefined ? undefined : JSON.stringify({ spec: change.spec }),
            signal: AbortSignal.timeout(abortsEarly ? 2 : REQUEST_TIMEOUT_MS),
        });
        const body = await response.body.json() as ResourceResponse;
        status = response.statusCode;
        revision = status < 300 ? body.revision : undefined;
    }
    catch {
        // The outcome is unknown.
    }
    const record = { ...change, sentAt, respondedAt: performance.now(), status, revision };
    records.changes.push(record);
    return record;
}

/** Sends a fresh read of a resource to one control instance and records it; undefined without a usable response. */
export async function readObject(
    records: OperatorRecords,
    instance: string,
    address: string,
    object: string,
): Promise<ReadRecord | undefined> {
    const sentAt = performance.now();
    try {
        const response = await request(`http://${address}/v1/${object}`, {
            signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
        });
        const body = await response.body.json() as ResourceResponse;
        if (response.statusCode !== 200 && response.statusCode !== 404) {
            return undefined;
        }
        const isInForce = body.status?.conditions.some(({ type, status }) => type === "InForce" && status === "True");
        const record = {
            object,
            instance,
            sentAt,
            respondedAt: performance.now(),
            revision: response.statusCode === 200 ? body.revision ?? 0 : 0,
            spec: body.spec,
            isInForce: isInForce === true,
        };
        records.reads.push(record);
        return record;
    }
    catch {
        return undefined;
    }
}

export type Operator = {
    /** Number of acknowledged changes. */
    readonly acknowledgedChanges: number;
    stop(): Promise<void>;
};

/**
 * Starts an operator that repeatedly changes one region and reads it back at the next instance. It retries each change
 * with the same request id until it gets a final response.
 *
 * @param addresses Addresses of the operator API by control instance.
 * @param object Path of the region, such as `regions/hame`.
 * @param linkTo Region at the other end of the link that each change sets.
 */
export function startOperator(
    records: OperatorRecords,
    addresses: ReadonlyMap<string, string>,
    object: string,
    linkTo: string,
): Operator {
    const instances = [...addresses];
    let isStopping = false;
    let acknowledgedChanges = 0;
    let requestCount = 0;
    const nextInstance = () => {
        requestCount += 1;
        return instances[requestCount % instances.length]!;
    };
    const readWithRetries = async (): Promise<ReadRecord | undefined> => {
        while (!isStopping) {
            const [instance, address] = nextInstance();
            const found = await readObject(records, instance, address, object);
            if (found !== undefined) {
                return found;
            }
            await pause(RETRY_PAUSE_MS);
        }
        return undefined;
    };
    const change = async (number: number, expectedRevision: number) => {
        const spec = { links: [{ to: linkTo, bitsPerSecond: number }] };
        while (!isStopping) {
            const [instance, address] = nextInstance();
            const requestId = `${object}-${number}-${expectedRevision}`;
            const response = await sendChange(records, address, {
                requestId,
                object,
                expectedRevision,
                spec,
                instance,
            });
            if (response.status !== undefined && response.status !== 503 && response.status !== 504) {
                acknowledgedChanges += response.status < 300 ? 1 : 0;
                return;
            }
            await pause(RETRY_PAUSE_MS);
        }
    };
    const run = async () => {
        for (let number = 1; !isStopping; number += 1) {
            const current = await readWithRetries();
            if (current !== undefined) {
                await change(number, current.revision);
            }
        }
    };
    const running = run();
    return {
        get acknowledgedChanges() {
            return acknowledgedChanges;
        },
        stop: async () => {
            isStopping = true;
            await running;
        },
    };
}

export type BackendServerStatus = {
    readonly name: string;
    readonly isDirect: boolean;
    /** Slots that the entry keeps while it is disconnected from control. */
    readonly floorSlots: number;
};

export type EntryStatus = {
    readonly revision: number;
    readonly holdsViewLease: boolean;
    readonly isLeaving: boolean;
    readonly inFlight: number;
    readonly incarnation: string;
    readonly backendServers: Readonly<Record<string, readonly BackendServerStatus[]>>;
};

/** Reads the status of an entry; undefined without a response. */
export async function readEntryStatus(adminUrl: string): Promise<EntryStatus | undefined> {
    try {
        const response = await request(`${adminUrl}/v1/status`, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) });
        return await response.body.json() as EntryStatus;
    }
    catch {
        return undefined;
    }
}

/** Starts recording which revision each entry acts on. */
export function observeEntries(adminUrls: ReadonlyMap<string, string>): {
    readonly records: readonly EntryRecord[];
    stop(): Promise<void>;
} {
    const records: EntryRecord[] = [];
    let isStopping = false;
    const observe = async (entry: string, url: string) => {
        while (!isStopping) {
            const sentAt = performance.now();
            const status = await readEntryStatus(url);
            if (status !== undefined) {
                const { revision, holdsViewLease } = status;
                records.push({ entry, sentAt, revision, holdsViewLease });
            }
            await pause(RETRY_PAUSE_MS);
        }
    };
    const running = Promise.all([...adminUrls].map(([entry, url]) => observe(entry, url)));
    return {
        records,
        stop: async () => {
            isStopping = true;
            await running;
        },
    };
}
