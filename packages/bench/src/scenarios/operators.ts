/**
 * Operators that change objects and read them back, and observers of what entries act on.
 */
import { request } from "undici";
import type { ChangeRecord, EntryRecord, ReadRecord } from "../checker/history.js";

export type OperatorRecords = { readonly changes: ChangeRecord[]; readonly reads: ReadRecord[] };

const TIMEOUT_MS = 5_000;
const RESEND_PAUSE_MS = 50;

type ResourceAnswer = {
    readonly revision?: number;
    readonly spec?: unknown;
    readonly status?: { readonly conditions: readonly { readonly type: string; readonly status: string }[] };
};

const pause = (milliseconds: number) => new Promise(resolve => setTimeout(resolve, milliseconds));

/** One send of a change to one control instance. */
export type ChangeRequest = Pick<ChangeRecord, "requestId" | "object" | "expectedRevision" | "spec" | "instance">;

/**
 * Sends a put once, or a delete when there is no spec, and records it.
 *
 * @param address Address with the operator port of the instance.
 * @param isLost Closes the connection before the answer arrives.
 */
export async function sendChange(
    records: OperatorRecords,
    address: string,
    change: ChangeRequest,
    isLost = false,
): Promise<ChangeRecord> {
    const sentAt = performance.now();
    let status: number | undefined;
    let revision: number | undefined;
    try {
        const answer = await request(`http://${address}/v1/${change.object}`, {
            method: change.spec === undefined ? "DELETE" : "PUT",
            headers: {
                "request-id": change.requestId,
                "if-match": `"${change.expectedRevision}"`,
                ...change.spec === undefined ? {} : { "content-type": "application/json" },
            },
            body: change.spec === undefined ? undefined : JSON.stringify({ spec: change.spec }),
            signal: AbortSignal.timeout(isLost ? 2 : TIMEOUT_MS),
        });
        const body = await answer.body.json() as ResourceAnswer;
        status = answer.statusCode;
        revision = status < 300 ? body.revision : undefined;
    }
    catch {
        // The outcome is unknown.
    }
    const record = { ...change, sentAt, respondedAt: performance.now(), status, revision };
    records.changes.push(record);
    return record;
}

/** Reads an object freshly at one control instance and records the answer; undefined when there was none. */
export async function readObject(
    records: OperatorRecords,
    instance: string,
    address: string,
    object: string,
): Promise<ReadRecord | undefined> {
    const sentAt = performance.now();
    try {
        const answer = await request(`http://${address}/v1/${object}`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
        const body = await answer.body.json() as ResourceAnswer;
        if (answer.statusCode !== 200 && answer.statusCode !== 404) {
            return undefined;
        }
        const isInForce = body.status?.conditions.some(({ type, status }) => type === "InForce" && status === "True");
        const record = {
            object,
            instance,
            sentAt,
            respondedAt: performance.now(),
            revision: answer.statusCode === 200 ? body.revision ?? 0 : 0,
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
    /** Changes that were acknowledged. */
    readonly acknowledged: number;
    stop(): Promise<void>;
};

/**
 * Starts an operator that changes one region again and again, resends under the same request id until it is answered,
 * and reads the region back at another instance.
 *
 * @param addresses Addresses with operator ports by control instance.
 */
export function startOperator(
    records: OperatorRecords,
    addresses: ReadonlyMap<string, string>,
    object: string,
    linkTo: string,
): Operator {
    const instances = [...addresses];
    let isStopping = false;
    let acknowledged = 0;
    let turn = 0;
    const next = () => {
        turn += 1;
        return instances[turn % instances.length]!;
    };
    const readUntilAnswered = async (): Promise<ReadRecord | undefined> => {
        while (!isStopping) {
            const [instance, address] = next();
            const found = await readObject(records, instance, address, object);
            if (found !== undefined) {
                return found;
            }
            await pause(RESEND_PAUSE_MS);
        }
        return undefined;
    };
    const change = async (number: number, expectedRevision: number) => {
        const spec = { links: [{ to: linkTo, bitsPerSecond: number }] };
        while (!isStopping) {
            const [instance, address] = next();
            const requestId = `${object}-${number}-${expectedRevision}`;
            const answer = await sendChange(records, address, { requestId, object, expectedRevision, spec, instance });
            if (answer.status !== undefined && answer.status !== 503 && answer.status !== 504) {
                acknowledged += answer.status < 300 ? 1 : 0;
                return;
            }
            await pause(RESEND_PAUSE_MS);
        }
    };
    const run = async () => {
        for (let number = 1; !isStopping; number += 1) {
            const current = await readUntilAnswered();
            if (current !== undefined) {
                await change(number, current.revision);
            }
        }
    };
    const running = run();
    return {
        get acknowledged() {
            return acknowledged;
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
    /** Slots that stay with the entry while it is cut off. */
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

/** State of an entry; undefined when it does not answer. */
export async function readEntryStatus(adminUrl: string): Promise<EntryStatus | undefined> {
    try {
        const answer = await request(`${adminUrl}/v1/status`, { signal: AbortSignal.timeout(TIMEOUT_MS) });
        return await answer.body.json() as EntryStatus;
    }
    catch {
        return undefined;
    }
}

/** Starts to record which revision each entry acts on. */
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
            await pause(RESEND_PAUSE_MS);
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
