/**
 * Simulation of the quotas for tests: the real allocator and the real entries, with a network, callers and a clock that
 * are simulated.
 */
import { NO_COUNTERS } from "@hyssopfront/coordination";
import type { EntryReport } from "../../entry-selection/connected-entries.js";
import type { EventLog } from "../../event-log/event-log.js";
import type { Timers } from "../../routing/timers.js";
import type { ClientAccount } from "../client-account.js";
import { type AccountQuotas, createAccountQuotas, isAdmitted } from "./account-quotas.js";
import type { QuotaOutcome } from "./account-state.js";
import { createKnownEntries } from "./entry-reach.js";
import { createLeaderCalls } from "./leader-calls.js";
import { DEFAULT_QUOTA_TOLERANCE } from "./local-share.js";
import { createQuotaLeaseHandler } from "./serve-quota-leases.js";

/** Time until a closed connection is removed from the list of entries, in milliseconds. */
const REMOVAL_MS = 1_500;
/** Time until a connection without messages is closed, in milliseconds. */
const INACTIVITY_MS = 2_000;
const CONTROL_COUNT = 5;
const MAXIMUM_RETRIES = 2;

/** A request that has been decided. */
export type SimulatedRequest = {
    readonly account: string;
    readonly entry: number;
    readonly attempt: number;
    readonly sentAt: number;
    readonly decidedAt: number;
    readonly outcome: QuotaOutcome;
};
type SimulatedEntry = {
    readonly name: string;
    readonly number: number;
    readonly quotas: AccountQuotas;
    isRunning: boolean;
    isCutOff: boolean;
    entryCount: number;
    /** Time of the latest failure, and the time from which the control instances no longer list the entry. */
    failedAt: number;
    listedUntil: number;
};

/** Simulated deployment. Times are milliseconds since its start. */
export type QuotaSimulation = {
    readonly requests: readonly SimulatedRequest[];
    /** Number of calls to the control instances. */
    calls(): number;
    /** Number of timers that the entries have started. */
    timers(): number;
    /** From now on, no admitted request is run. */
    refundAll(): void;
    addEntry(): number;
    kill(entry: number): void;
    setCutOff(entry: number, isCutOff: boolean): void;
    /** Ends the lease of the leader, and makes another instance the leader after a time. */
    changeLeader(afterMilliseconds: number): void;
    setAccount(account: ClientAccount): void;
    /** Sends a request at an entry now. */
    send(account: string, entry: number): void;
    /** Numbers of the running entries. */
    running(): readonly number[];
    at(milliseconds: number, action: () => void): void;
    run(untilMilliseconds: number): Promise<void>;
    now(): number;
};

/** Creates uniform random numbers from 0 to 1 (mulberry32). */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (state + 0x6d2b79f5) | 0;
        let value = Math.imul(state ^ (state >>> 15), 1 | state);
        value = (value + Math.imul(value ^ (value >>> 7), 61 | value)) ^ value;
        return ((value ^ (value >>> 14)) >>> 0) / 2 ** 32;
    };
}

/** Actions by time in whole milliseconds, the earliest first. */
function createSchedule() {
    const actions = new Map<number, (() => void)[]>();
    let now = 0;
    const at = (time: number, action: () => void) => {
        const due = Math.max(now, Math.ceil(time));
        const others = actions.get(due);
        if (others === undefined) {
            actions.set(due, [action]);
        }
        else {
            others.push(action);
        }
    };
    const run = async (until: number) => {
        for (; now < until; now += 1) {
            // An action may add others for the same time, and so may the promises that it resolves.
            for (let due = actions.get(now); due !== undefined; due = actions.get(now)) {
                actions.delete(now);
                due.forEach(action => action());
                await new Promise(resolve => setImmediate(resolve));
            }
        }
    };
    const clock = {
        monotonicMilliseconds: () => now,
        wallTime: () => new Date(now),
        sleep: (milliseconds: number) => new Promise<void>(resolve => at(now + milliseconds, resolve)),
    };
    const timers: Timers = {
        start: (dueAt, callback) => {
            let isCancelled = false;
            at(dueAt, () => isCancelled || callback());
            return () => {
                isCancelled = true;
            };
        },
        close: () => undefined,
    };
    return { at, run, clock, timers, now: () => now };
}

/**
 * Creates a deployment with a leader that has just been elected.
 *
 * @param options.getDelay Time that a message takes between an entry and the control instances, in milliseconds.
 */
export function createQuotaSimulation(options: {
    readonly entryCount: number;
    readonly random: () => number;
    readonly getDelay: (entry: number) => number;
    readonly log: EventLog;
}): QuotaSimulation {
    const { random, getDelay } = options;
    const schedule = createSchedule();
    const { clock, timers, at, now } = schedule;
    const accounts = new Map<string, ClientAccount>();
    const entries: SimulatedEntry[] = [];
    const requests: SimulatedRequest[] = [];
    let leadership: { readonly leader: number; readonly since: number } | undefined = { leader: 0, since: 0 };
    let calls = 0;
    let timerCount = 0;
    let refundsAll = false;

    const controls = Array.from({ length: CONTROL_COUNT }, (_, index) => {
        const knownEntries = createKnownEntries(clock);
        const isLeading = () => leadership?.leader === index;
        return {
            knownEntries,
            handle: createQuotaLeaseHandler({
                clock,
                replica: () => ({
                    holdsLeaderLease: isLeading,
                    leadingForMilliseconds: () => isLeading() ? now() - (leadership?.since ?? 0) : undefined,
                    status: () => ({ leader: leadership && `control-${leadership.leader}` }),
                }),
                findQuota: name => accounts.get(name)?.quota,
                knownEntries,
            }),
        };
    });
    const controlNames = controls.map((_, index) => `control-${index}`);

    const isReachable = (entry: SimulatedEntry) => entry.isRunning && !entry.isCutOff;
    const updateEntries = () => {
        const connected = entries.filter(entry => isReachable(entry) || now() < entry.listedUntil);
        const reports = connected.map(({ name }): EntryReport => ({
            name,
            callerAddress: name,
            availabilityZone: "z1",
            region: "r1",
            isReady: true,
            cores: 1,
        }));
        controls.forEach(({ knownEntries }) => knownEntries.update(reports));
        entries.filter(isReachable).forEach(entry => {
            entry.entryCount = connected.length;
            entry.quotas.recordEntryCount();
        });
    };

    const removeLater = (entry: SimulatedEntry, delay: number) => {
        entry.failedAt = now();
        entry.listedUntil = now() + delay;
        at(entry.listedUntil, updateEntries);
    };

    const callControl = (entry: SimulatedEntry, name: string, payload: unknown, deadline: number) =>
        new Promise<unknown>((resolve, reject) => {
            calls += 1;
            at(now() + deadline, () => reject(new Error("The call has timed out.")));
            const deliver = (action: () => void) =>
                at(now() + getDelay(entry.number) * (1 + 0.2 * random()), () => isReachable(entry) && action());
            if (isReachable(entry)) {
                deliver(() => {
                    const reply = controls[controlNames.indexOf(name)]?.handle(payload);
                    deliver(() => resolve(reply));
                });
            }
        });

    const addEntry = () => {
        const number = entries.length;
        const name = `entry-${number}`;
        const entry: SimulatedEntry = {
            name,
            number,
            isRunning: true,
            isCutOff: false,
            entryCount: 1,
            failedAt: 0,
            listedUntil: 0,
            quotas: createAccountQuotas({
                clock,
                timers: {
                    ...timers,
                    start: (dueAt, callback) => {
                        timerCount += 1;
                        return timers.start(dueAt, callback);
                    },
                },
                counters: NO_COUNTERS,
                log: options.log,
                random,
                entry: name,
                entryCount: () => entry.entryCount,
                tolerance: DEFAULT_QUOTA_TOLERANCE,
                leaderCalls: createLeaderCalls(clock, {
                    connected: () => entry.isCutOff && now() > entry.failedAt + INACTIVITY_MS ? [] : controlNames,
                    call: (control, _kind, payload, deadline) => callControl(entry, control, payload, deadline),
                }),
            }),
        };
        entries.push(entry);
        return number;
    };
    Array.from({ length: options.entryCount }, addEntry);
    updateEntries();

    const getEntry = (number: number) => entries[number] as SimulatedEntry;
    const running = () => entries.filter(({ isRunning }) => isRunning).map(({ number }) => number);
    const send = (account: string, number: number, attempt = 0) => {
        const entry = getEntry(number);
        const sentAt = now();
        if (!entry.isRunning) {
            return;
        }
        void entry.quotas.acquire(accounts.get(account) as ClientAccount).then(decision => {
            if (!entry.isRunning) {
                return;
            }
            const { outcome, retryAfterMilliseconds = 0 } = decision;
            requests.push({ account, entry: number, attempt, sentAt, decidedAt: now(), outcome });
            if (refundsAll && isAdmitted(decision)) {
                entry.quotas.refund(account, decision);
            }
            if (!isAdmitted(decision) && attempt < MAXIMUM_RETRIES) {
                at(now() + retryAfterMilliseconds, () => send(account, number, attempt + 1));
            }
        });
    };

    return {
        requests,
        calls: () => calls,
        timers: () => timerCount,
        refundAll: () => {
            refundsAll = true;
        },
        addEntry: () => {
            const number = addEntry();
            updateEntries();
            return number;
        },
        kill: number => {
            getEntry(number).isRunning = false;
            removeLater(getEntry(number), REMOVAL_MS);
        },
        setCutOff: (number, isCutOff) => {
            const entry = getEntry(number);
            entry.isCutOff = isCutOff;
            if (isCutOff) {
                removeLater(entry, INACTIVITY_MS + REMOVAL_MS);
            }
            else {
                entry.listedUntil = now();
                updateEntries();
            }
        },
        changeLeader: afterMilliseconds => {
            const leader = ((leadership?.leader ?? 0) + 1) % CONTROL_COUNT;
            leadership = undefined;
            at(now() + afterMilliseconds, () => {
                leadership = { leader, since: now() };
            });
        },
        setAccount: account => void accounts.set(account.name, account),
        send: (account, entry) => send(account, entry),
        running,
        at,
        run: schedule.run,
        now,
    };
}

/** Returns the largest number of times within a window. Times are ascending milliseconds. */
export function countBusiestWindow(times: readonly number[], windowMilliseconds: number): number {
    let first = 0;
    return times.reduce((maximum, time, index) => {
        while ((times[first] as number) <= time - windowMilliseconds) {
            first += 1;
        }
        return Math.max(maximum, index - first + 1);
    }, 0);
}
