/**
 * Stand-in caller: looks entries up, caches the answer for its time to live, sends requests and records what it was told.
 */
import { Agent, request } from "undici";

export type LookupEntry = { readonly name: string; readonly address: string; readonly port: number };

/** What the caller was told of one request. */
export type CallerResponse = {
    readonly id: string;
    /** Undefined when the connection ended without a whole answer. */
    readonly status: number | undefined;
    /** Value of `Hyssop-Outcome`; undefined when no whole answer came. */
    readonly outcome: string | undefined;
    readonly reason: string | undefined;
    readonly backendServer: string | undefined;
    readonly entry: string | undefined;
    readonly body: string;
    readonly error: string | undefined;
    readonly milliseconds: number;
};

export type CallerRequest = {
    /** Sent as `test-request-id`; the answer of a stand-in backend server starts with it. */
    readonly id: string;
    readonly method?: "GET" | "HEAD" | "POST" | "PUT" | "DELETE";
    readonly path?: string;
    readonly headers?: Readonly<Record<string, string>>;
    readonly body?: string | Buffer;
    /** Aborting it closes the connection of the request. */
    readonly signal?: AbortSignal;
};

export type CallerOptions = {
    readonly service: string;
    /** Entries to start from, as base addresses such as `http://127.0.0.1:7101`. */
    readonly entries: readonly string[];
    /** Looks up; without it the start entries are used. */
    readonly lookUp?: (entry: string) => Promise<{ entries: readonly LookupEntry[]; timeToLiveSeconds: number }>;
    readonly connections?: number;
};

export type Caller = {
    readonly responses: readonly CallerResponse[];
    readonly lookups: number;
    /** Entries in the order of the look-up answer, which is renewed after its time to live. */
    entries(): Promise<readonly string[]>;
    /** Sends one request to the first entry of the look-up answer, or to the given one. */
    send(callerRequest: CallerRequest, entry?: string): Promise<CallerResponse>;
    close(): Promise<void>;
};

/**
 * Looks up by HTTP, as section 3.10 of the design page defines it.
 */
export async function lookUpByHttp(
    entry: string,
    service: string,
    availabilityZone: string,
): Promise<{ entries: readonly LookupEntry[]; timeToLiveSeconds: number }> {
    const answer = await request(`${entry}/v1/lookup?service=${service}&availabilityZone=${availabilityZone}`);
    if (answer.statusCode !== 200) {
        await answer.body.dump();
        throw new Error(`The look-up at ${entry} was answered with status ${answer.statusCode}.`);
    }
    return await answer.body.json() as { entries: readonly LookupEntry[]; timeToLiveSeconds: number };
}

/**
 * Creates a caller of one service.
 */
export function createCaller(options: CallerOptions): Caller {
    const agent = new Agent({ connections: options.connections ?? 256, pipelining: 1 });
    const told: CallerResponse[] = [];
    let cached: readonly string[] = options.entries;
    let cachedUntil = -Infinity;
    let lookups = 0;

    const currentEntries = async (): Promise<readonly string[]> => {
        if (options.lookUp === undefined || performance.now() < cachedUntil) {
            return cached;
        }
        for (const entry of [...cached, ...options.entries]) {
            try {
                lookups += 1;
                const answer = await options.lookUp(entry);
                cached = answer.entries.map(found => `http://${found.address}:${found.port}`);
                cachedUntil = performance.now() + answer.timeToLiveSeconds * 1_000;
                return cached;
            }
            catch {
                continue;
            }
        }
        return cached;
    };

    const send = async (callerRequest: CallerRequest, chosenEntry?: string): Promise<CallerResponse> => {
        const entry = chosenEntry ?? (await currentEntries())[0];
        const startedAt = performance.now();
        const answer = await exchange(agent, `${entry}/${options.service}${callerRequest.path ?? "/"}`, callerRequest);
        const entryOfAnswer = { ...answer, milliseconds: performance.now() - startedAt };
        told.push(entryOfAnswer);
        return entryOfAnswer;
    };

    return {
        responses: told,
        get lookups() {
            return lookups;
        },
        entries: currentEntries,
        send,
        close: () => agent.destroy(),
    };
}

async function exchange(
    agent: Agent,
    url: string,
    callerRequest: CallerRequest,
): Promise<Omit<CallerResponse, "milliseconds">> {
    const nothing = { reason: undefined, backendServer: undefined, entry: undefined, body: "" };
    try {
        const answer = await request(url, {
            dispatcher: agent,
            method: callerRequest.method ?? "GET",
            headers: { "test-request-id": callerRequest.id, ...callerRequest.headers },
            body: callerRequest.body,
            signal: callerRequest.signal,
        });
        const body = await answer.body.text();
        const header = (name: string) => answer.headers[name] as string | undefined;
        return {
            id: callerRequest.id,
            status: answer.statusCode,
            outcome: header("hyssop-outcome"),
            reason: header("hyssop-reason"),
            backendServer: header("hyssop-backend-server"),
            entry: header("hyssop-entry"),
            body,
            error: undefined,
        };
    }
    catch (error) {
        return { ...nothing, id: callerRequest.id, status: undefined, outcome: undefined, error: String(error) };
    }
}
