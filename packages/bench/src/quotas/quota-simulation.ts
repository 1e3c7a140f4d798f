/**
 * Simulation of several entries and control instances that share budgets, each with its own clock, over a network that
 * loses, delays and duplicates renewals. The property tests and the measurements of quotas use it.
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
    /** Rates of the clocks of the control instances, relative to simulated time; one for each instance. */
    readonly controlClockRates: readonly number[];
    readonly backendServers: readonly AnnouncedBackendServer[];
    readonly longestRequestMilliseconds: number;
    /** See `QuotaAllocatorOptions`. */
    readonly cacheMillisecondsPerHolder?: number;
    readonly random: () => number;
    /** Creates an admission without leases, to be simulated instead of the leased quotas. */
    readonly createBaseline?: (options: { clock: Clock; configuration: ConfigurationSource }) => Admission;
};

/** One process of an entry. */
export type SimulatedEntry = {
    readonly name: string;
    readonly incarnation: string;
    readonly clock: Clock;
    readonly admission: Admission;
    /** The same admission if it uses leased quotas; undefined for a baseline. */
    readonly leasedAdmission: EntryAdmission | undefined;
    isRunning: boolean;
    isIsolated: boolean;
    nextRenewalAt: number;
    /** Called after received grants were applied. */
    onGrants: () => void;
    applyView: (view: ConfigurationView) => void;
    view: () => ConfigurationView;
};

export type QuotaSimulation = ReturnType<typeof createQuotaSimulation>;

type Message = { readonly dueAt: number; readonly deliver: () => void };

/** Creates a clock with another rate and start than the base clock. */
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
 * Creates a simulation at time 0 in which the first control instance is the leader.
 *
 * @returns Controls of the simulation. Simulated time advances only in `step`.
 */
export function createQuotaSimulation(options: SimulationOptions) {
    const {
        network,
        random,
        backendServers,
        longestRequestMilliseconds,
        cacheMillisecondsPerHolder,
    } = options;
    const simulatedClock = createManualClock();
    const now = () => simulatedClock.monotonicMilliseconds();
    const entries = new Map<string, SimulatedEntry>();
    const allocators: QuotaAllocator[] = options.controlClockRates.map((rate, index) => {
        const clock = createSkewedClock(simulatedClock, rate, 1_000 * index);
        return createQuotaAllocator({
            clock,
            longestRequestMilliseconds,
            cacheMillisecondsPerHolder,
        });
    });
    let messages: Message[] = [];
    let view = options.view;
    let leader: number | undefined;
    let leaderTerm = 0;
    let processCount = 0;

    const schedule = (milliseconds: number, deliver: () => void) =>
        messages.push({ dueAt: now() + milliseconds, deliver });

    const send = (entry: SimulatedEntry, deliver: () => void) => {
        if (entry.isIsolated) {
            return;
        }
        const copies = network.isDuplicated() ? 2 : 1;
        for (let copy = 0; copy < copies; copy++) {
            if (!network.isLost()) {
                schedule(network.delay(), deliver);
            }
        }
    };

    const elect = (index: number) => {
        leader = index;
        allocators[index]?.startLeading(++leaderTerm);
    };

    const respond = (recipient: number, entry: SimulatedEntry, renewal: QuotaRenewal) => {
        const allocator = allocators[recipient];
        if (recipient !== leader || allocator === undefined) {
            return;
        }
        const grants: QuotaGrant[] = structuredClone(allocator.renew(renewal));
        send(entry, () => {
            if (entry.isRunning) {
                entry.leasedAdmission?.applyGrants(grants, renewal.sentAt ?? 0);
                entry.onGrants();
            }
        });
    };

    const renew = (entry: SimulatedEntry) => {
        if (entry.leasedAdmission === undefined) {
            return;
        }
        const sentAt = entry.clock.monotonicMilliseconds();
        const renewal = {
            entry: entry.name,
            incarnation: entry.incarnation,
            appliedRevision: entry.view().revision,
            sentAt,
            demands: entry.leasedAdmission.collectDemands(),
        };
        // Some renewals are sent to an instance that is not the leader.
        const isMisdirected = random() < 0.1 && allocators.length > 1;
        const recipient = isMisdirected ? Math.floor(random() * allocators.length) : leader ?? 0;
        send(entry, () => respond(recipient, entry, renewal));
    };

    const startEntry = (name: string, clockRate: number) => {
        const clock = createSkewedClock(simulatedClock, clockRate, 10_000 * random());
        const configuration = createConfiguration(view);
        const leasedAdmission = options.createBaseline === undefined
            ? createEntryAdmission({
                clock,
                entry: name,
                configuration: configuration.source,
                announcements: { backendServers: service => backendServers.filter(other => other.service === service) },
            })
            : undefined;
        const admission = leasedAdmission ??
            options.createBaseline?.({ clock, configuration: configuration.source });
        const entry: SimulatedEntry = {
            name,
            incarnation: `process-${++processCount}`,
            clock,
            admission: admission as Admission,
            leasedAdmission,
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
        allocators.forEach(allocator => allocator.applyView(changed));
        entries.forEach(entry => propagate(entry, changed, delay));
    };

    const propagate = (entry: SimulatedEntry, changed: ConfigurationView, delay: () => number) =>
        schedule(delay(), () => {
            if (entry.isIsolated) {
                propagate(entry, changed, delay);
                return;
            }
            entry.applyView(changed);
        });

    const step = async (milliseconds: number) => {
        await simulatedClock.advance(milliseconds);
        const dueMessages = messages.filter(({ dueAt }) => dueAt <= now());
        messages = messages.filter(({ dueAt }) => dueAt > now());
        dueMessages.sort((a, b) => a.dueAt - b.dueAt).forEach(({ deliver }) => deliver());
        entries.forEach(entry => {
            if (entry.isRunning && now() >= entry.nextRenewalAt) {
                entry.nextRenewalAt += SESSION_RENEWAL_INTERVAL_MS;
                renew(entry);
            }
        });
    };

    allocators.forEach(allocator => allocator.applyView(view));
    elect(0);
    return {
        now,
        step,
        schedule,
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
