/**
 * Simulation of several entries and control instances that share budgets, each with its own clock, over a network that
 * loses, delays and duplicates renewals. Used by the property tests and by the figures of the portions.
 */
import { type Clock, createManualClock } from "@hyssopfront/coordination";
import type { Admission } from "hyssopfront/admission/admission.js";
import { createEntryAdmission, type EntryAdmission } from "hyssopfront/admission/entry-admission.js";
import { createQuotaAllocator, type QuotaAllocator, type QuotaRenewal } from "hyssopfront/admission/quota-allocator.js";
import type { AnnouncedBackendServer } from "hyssopfront/announcements/announcement.js";
import type { ConfigurationSource, ConfigurationView } from "hyssopfront/configuration/configuration-view.js";
import { type QuotaGrant, SESSION_RENEWAL_INTERVAL_MS } from "hyssopfront/sessions/messages.js";

export type Network = {
    /** One-way delay of a message in milliseconds. */
    readonly delay: () => number;
    readonly isLost: () => boolean;
    readonly isDuplicated: () => boolean;
};

export type SimulationOptions = {
    readonly view: ConfigurationView;
    readonly network: Network;
    /** Rates of the clocks of the control instances, relative to true time. */
    readonly controlClockRates: readonly number[];
    readonly backendServers: readonly AnnouncedBackendServer[];
    readonly longestRequestMilliseconds: number;
    /** Time for which grantors keep sums, for each process that holds some of a budget. */
    readonly cacheMillisecondsPerHolder?: number;
    readonly random: () => number;
    /** Admission without leases in place of the leased portions. */
    readonly createBaseline?: (options: { clock: Clock; configuration: ConfigurationSource }) => Admission;
};

/** One process of an entry. */
export type SimulatedEntry = {
    readonly name: string;
    readonly incarnation: string;
    readonly clock: Clock;
    readonly admission: Admission;
    readonly leased: EntryAdmission | undefined;
    isRunning: boolean;
    isIsolated: boolean;
    nextRenewalAt: number;
    /** Called after grants were applied. */
    onGrants: () => void;
    applyView: (view: ConfigurationView) => void;
    view: () => ConfigurationView;
};

export type QuotaSimulation = ReturnType<typeof createQuotaSimulation>;

type Message = { readonly dueAt: number; readonly deliver: () => void };

/** Clock that runs at a rate of its own beside the true time. */
export function createSkewedClock(base: Clock, rate: number, offset: number): Clock {
    return {
        monotonicMilliseconds: () => base.monotonicMilliseconds() * rate + offset,
        wallTime: base.wallTime,
        sleep: (milliseconds, signal) => base.sleep(milliseconds / rate, signal),
    };
}

function createConfiguration(initial: ConfigurationView) {
    let view = initial;
    const listeners = new Set<(changed: ConfigurationView) => void>();
    const source: ConfigurationSource = {
        view: () => view,
        holdsViewLease: () => true,
        onChange: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
    };
    const apply = (changed: ConfigurationView) => {
        if (changed.revision > view.revision) {
            view = changed;
            listeners.forEach(listener => listener(view));
        }
    };
    return { source, apply };
}

/**
 * Creates a simulation at true time 0 in which the first control instance leads.
 *
 * @returns Controls of the simulation; nothing happens outside `step`.
 */
export function createQuotaSimulation(options: SimulationOptions) {
    const {
        network,
        random,
        backendServers,
        longestRequestMilliseconds,
        cacheMillisecondsPerHolder: millisecondsPerHolder,
    } = options;
    const trueClock = createManualClock();
    const now = () => trueClock.monotonicMilliseconds();
    const entries = new Map<string, SimulatedEntry>();
    const grantors: QuotaAllocator[] = options.controlClockRates.map((rate, index) => {
        const clock = createSkewedClock(trueClock, rate, 1_000 * index);
        return createQuotaAllocator({
            clock,
            longestRequestMilliseconds,
            cacheMillisecondsPerHolder: millisecondsPerHolder,
        });
    });
    let messages: Message[] = [];
    let view = options.view;
    let leader: number | undefined;
    let term = 0;
    let processes = 0;

    const later = (milliseconds: number, deliver: () => void) =>
        messages.push({ dueAt: now() + milliseconds, deliver });

    const send = (entry: SimulatedEntry, deliver: () => void) => {
        if (entry.isIsolated) {
            return;
        }
        const copies = network.isDuplicated() ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (!network.isLost()) {
                later(network.delay(), deliver);
            }
        }
    };

    const elect = (index: number) => {
        leader = index;
        grantors[index]?.startLeading(++term);
    };

    const answer = (target: number, entry: SimulatedEntry, renewal: QuotaRenewal) => {
        const grantor = grantors[target];
        if (target !== leader || grantor === undefined) {
            return;
        }
        const grants: QuotaGrant[] = structuredClone(grantor.renew(renewal));
        send(entry, () => {
            if (entry.isRunning) {
                entry.leased?.applyGrants(grants, renewal.sentAt ?? 0);
                entry.onGrants();
            }
        });
    };

    const renew = (entry: SimulatedEntry) => {
        if (entry.leased === undefined) {
            return;
        }
        const sentAt = entry.clock.monotonicMilliseconds();
        const renewal = {
            entry: entry.name,
            incarnation: entry.incarnation,
            appliedRevision: entry.view().revision,
            sentAt,
            demands: entry.leased.demands(),
        };
        // Some renewals go to an instance that does not lead, or no longer leads when they arrive.
        const isMisdirected = random() < 0.1 && grantors.length > 1;
        const target = isMisdirected ? Math.floor(random() * grantors.length) : leader ?? 0;
        send(entry, () => answer(target, entry, renewal));
    };

    const startEntry = (name: string, clockRate: number) => {
        const clock = createSkewedClock(trueClock, clockRate, 10_000 * random());
        const configuration = createConfiguration(view);
        const leased = options.createBaseline === undefined
            ? createEntryAdmission({
                clock,
                entry: name,
                configuration: configuration.source,
                announcements: { backendServers: service => backendServers.filter(other => other.service === service) },
            })
            : undefined;
        const admission = leased ?? options.createBaseline?.({ clock, configuration: configuration.source });
        const entry: SimulatedEntry = {
            name,
            incarnation: `process-${++processes}`,
            clock,
            admission: admission as Admission,
            leased,
            isRunning: true,
            isIsolated: false,
            nextRenewalAt: now() + SESSION_RENEWAL_INTERVAL_MS * random(),
            onGrants: () => undefined,
            applyView: configuration.apply,
            view: configuration.source.view,
        };
        entries.set(name, entry);
        return entry;
    };

    /** Commits a configuration; entries that are running and not isolated apply it after a delay. */
    const commit = (changed: ConfigurationView, delay: () => number) => {
        view = changed;
        grantors.forEach(grantor => grantor.applyView(changed));
        entries.forEach(entry => spread(entry, changed, delay));
    };

    const spread = (entry: SimulatedEntry, changed: ConfigurationView, delay: () => number) =>
        later(delay(), () => {
            if (entry.isIsolated) {
                spread(entry, changed, delay);
                return;
            }
            entry.applyView(changed);
        });

    const step = async (milliseconds: number) => {
        await trueClock.advance(milliseconds);
        const due = messages.filter(({ dueAt }) => dueAt <= now());
        messages = messages.filter(({ dueAt }) => dueAt > now());
        due.sort((a, b) => a.dueAt - b.dueAt).forEach(({ deliver }) => deliver());
        entries.forEach(entry => {
            if (entry.isRunning && now() >= entry.nextRenewalAt) {
                entry.nextRenewalAt += SESSION_RENEWAL_INTERVAL_MS;
                renew(entry);
            }
        });
    };

    grantors.forEach(grantor => grantor.applyView(view));
    elect(0);
    return {
        now,
        step,
        later,
        commit,
        entries,
        startEntry,
        view: () => view,
        stopLeading: () => leader = undefined,
        elect,
        leader: () => leader,
        crash: (name: string) => {
            const entry = entries.get(name);
            if (entry !== undefined) {
                entry.isRunning = false;
            }
        },
    };
}
