/**
 * Announces a stand-in backend server to entries by the protocol of section 3.9 of the design page.
 */
import { request } from "undici";

export type LoadReport = { readonly freeSlots?: number; readonly load?: number };

export type Announcer = {
    /** Sends the first announcement to every entry, then one every 500 ms. */
    start(): Promise<void>;
    /** Sends an announcement to every entry now. A failed one is not retried before the next interval. */
    announce(): Promise<void>;
    /** Stops announcing without a withdrawal, as if the announcements were lost. */
    stop(): void;
    /** Stops announcing and withdraws from every entry, or only from the given ones. */
    withdraw(entries?: readonly string[]): Promise<void>;
    readonly isWithdrawn: boolean;
    /** Time of the first confirmed withdrawal in milliseconds of `performance.now()`. */
    readonly withdrawnAt: number | undefined;
};

export type AnnouncerOptions = {
    /** Base URLs such as `http://127.0.0.1:7101`. */
    readonly entries: readonly string[];
    readonly service: string;
    readonly name: string;
    /** Returns the body of the announcement to an entry. */
    readonly createAnnouncement: (entry: string) => object;
    /** Called when a response reports that the backend server is being drained, before it withdraws. */
    readonly onDraining: () => void;
    /** Called when the responses no longer report a drain. The next announcement must have a new incarnation. */
    readonly onDrainEnded: () => void;
};

const ANNOUNCEMENT_INTERVAL_MS = 500;

/**
 * Creates an announcer. It sends nothing before `start`.
 */
export function createAnnouncer(options: AnnouncerOptions): Announcer {
    let timer: NodeJS.Timeout | undefined;
    let isWithdrawn = false;
    let isDrained = false;
    let withdrawnAt: number | undefined;
    const path = `/v1/announcements/${options.service}/${options.name}`;

    /** @returns Whether the entry reports a drain of the backend server; undefined without a usable response. */
    const send = async (entry: string, method: "PUT" | "DELETE"): Promise<boolean | undefined> => {
        try {
            const response = await request(entry + path, {
                method,
                headers: { "content-type": "application/json" },
                body: method === "PUT" ? JSON.stringify(options.createAnnouncement(entry)) : undefined,
                headersTimeout: 1_000,
                bodyTimeout: 1_000,
            });
            const text = await response.body.text();
            if (method === "DELETE" && response.statusCode < 300) {
                withdrawnAt ??= performance.now();
            }
            return response.statusCode === 200
                ? (JSON.parse(text) as { draining?: boolean }).draining === true
                : undefined;
        }
        catch {
            return undefined;
        }
    };
    const stop = () => {
        clearInterval(timer);
        timer = undefined;
    };
    const sendWithdrawal = async (entries: readonly string[]) => {
        isWithdrawn = true;
        await Promise.all(entries.map(entry => send(entry, "DELETE")));
    };
    const withdraw = async (entries = options.entries) => {
        stop();
        await sendWithdrawal(entries);
    };
    /** A drained backend server keeps announcing that it is leaving: only the responses report the end of the drain. */
    const announce = async () => {
        const drainStates = await Promise.all(options.entries.map(entry => send(entry, "PUT")));
        if (drainStates.includes(true) && !isWithdrawn) {
            isDrained = true;
            options.onDraining();
            await sendWithdrawal(options.entries);
        }
        else if (isDrained && drainStates.includes(false) && !drainStates.includes(true)) {
            isDrained = false;
            isWithdrawn = false;
            withdrawnAt = undefined;
            options.onDrainEnded();
        }
    };
    const start = async () => {
        await announce();
        if ((!isWithdrawn || isDrained) && options.entries.length > 0) {
            timer = setInterval(() => void announce(), ANNOUNCEMENT_INTERVAL_MS);
        }
    };
    return {
        start,
        announce,
        stop,
        withdraw,
        get isWithdrawn() {
            return isWithdrawn;
        },
        get withdrawnAt() {
            return withdrawnAt;
        },
    };
}
