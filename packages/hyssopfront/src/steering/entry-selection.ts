/**
 * Lookup answers: which entries a caller should use, in order.
 */
import type { Clock } from "@hyssopfront/coordination";
import { hashText } from "../admission/budgets.js";
import type { ConfigurationSource, ConfigurationView } from "../configuration/configuration-view.js";
import type { DrainShares } from "../drains/drain-tracker.js";
import type { AddressWords } from "./address.js";
import { computeEntryOrder, type EntryOrder, type EntryTier, type OrderedEntry } from "./entry-order.js";
import { createPause } from "./pause.js";
import { createSiteTable } from "./site-table.js";

/** Bounds the size of an answer; enough to outlast the failure of several entries between two lookups. */
export const MAXIMUM_RESPONSE_ENTRIES = 8;
/** Entries of one tier in an answer while further tiers have entries, so that a failed place leaves others to go to. */
const ENTRIES_OF_A_TIER = 4;
/** Cut-off entries answer with a short time to live, so that callers soon ask an entry that knows more. */
export const STALE_TIME_TO_LIVE_SECONDS = 1;

/** Drains are asked about this often, not on each lookup, because there may be many entries. */
const SHARES_LIFETIME_MS = 100;

export type LookupCaller = {
    /** Address of the caller; its client block decides its availability zone. */
    readonly address?: AddressWords;
    /** Availability zone that the caller names itself. */
    readonly availabilityZone?: string;
};

export type LookupResponseEntry = {
    readonly name: string;
    readonly address: string;
    readonly port: number;
    readonly availabilityZone: string;
};

export type LookupResponse = {
    readonly service: string;
    readonly entries: readonly LookupResponseEntry[];
    readonly timeToLiveSeconds: number;
    readonly revision: number;
    readonly stale: boolean;
};

export type EntrySelection = {
    /** Answers a lookup; undefined for an unknown service. */
    lookUp(service: string, caller: LookupCaller): LookupResponse | undefined;
    /** False until the first configuration was worked in. */
    isReady(): boolean;
    /** True when the availability zone is declared. */
    hasAvailabilityZone(name: string): boolean;
    /** Resolves when lookups answer from the configuration that is current at the call. */
    waitForUpdate(): Promise<void>;
    /** Ends the subscription to the configuration. */
    close(): void;
};

export type EntrySelectionOptions = {
    readonly clock: Clock;
    readonly configuration: ConfigurationSource;
    readonly drains: Pick<DrainShares, "entryShare">;
    /** Availability zone of this entry; addresses outside every client block get its order. */
    readonly availabilityZone: string;
};

type Tables = { readonly view: ConfigurationView; readonly order: EntryOrder };

/**
 * Creates the steering of one entry. Each change of the configuration is worked in beside the lookups.
 */
export function createEntrySelection(options: EntrySelectionOptions): EntrySelection {
    const { clock, configuration, drains, availabilityZone } = options;
    const sites = createSiteTable(clock);
    const pause = createPause(clock);
    let sharesReadAt = -Infinity;
    let orderOfShares: EntryOrder | undefined;
    let tables: Tables | undefined;
    let wanted: ConfigurationView | undefined;
    let update: Promise<void> | undefined;

    const updateTables = async () => {
        while (wanted !== undefined) {
            const view = wanted;
            wanted = undefined;
            // Entries first: a changed order is small and urgent, client blocks may take a second.
            const order = await computeEntryOrder(view, pause);
            tables = { view: { ...view, revision: tables?.view.revision ?? view.revision }, order };
            await sites.update(view.availabilityZones);
            tables = { view, order };
        }
        update = undefined;
    };

    const applyView = (view: ConfigurationView) => {
        wanted = view;
        update ??= updateTables();
    };

    const refreshShares = (order: EntryOrder) => {
        const now = clock.monotonicMilliseconds();
        if (now >= sharesReadAt + SHARES_LIFETIME_MS || order !== orderOfShares) {
            sharesReadAt = now;
            orderOfShares = order;
            order.entries.forEach(ordered => ordered.drainedShare = drains.entryShare(ordered.entry));
        }
    };

    const lookUp = (service: string, caller: LookupCaller): LookupResponse | undefined => {
        const spec = tables?.view.services.get(service);
        if (tables === undefined || spec === undefined) {
            return undefined;
        }
        const zone = caller.availabilityZone
            ?? (caller.address && sites.find(caller.address))
            ?? availabilityZone;
        const key = caller.address === undefined ? hashText(zone) : hashWords(caller.address);
        refreshShares(tables.order);
        const stale = !configuration.holdsViewLease();
        return {
            service,
            entries: chooseEntries(tables.order.tiers(service, zone) ?? [], key).map(toAnswer),
            timeToLiveSeconds: stale
                ? Math.min(spec.timeToLiveSeconds, STALE_TIME_TO_LIVE_SECONDS)
                : spec.timeToLiveSeconds,
            revision: tables.view.revision,
            stale,
        };
    };

    const endSubscription = configuration.onChange(applyView);
    applyView(configuration.view());
    return {
        lookUp,
        isReady: () => tables !== undefined && tables.view.revision > 0,
        hasAvailabilityZone: name => tables?.view.availabilityZones.has(name) ?? false,
        waitForUpdate: async () => update,
        close: endSubscription,
    };
}

function toAnswer({ entry }: OrderedEntry): LookupResponseEntry {
    const { name, address, callerPort, availabilityZone } = entry;
    return { name, address, port: callerPort, availabilityZone };
}

/**
 * Chooses the entries of an answer. Within a tier each caller has an order of its own, which stays the same for as long
 * as the entries do; an entry that leaves spreads its callers over all the others. Drained entries are used only when
 * there is nothing else.
 *
 * @param key Number that stays the same for the caller.
 */
function chooseEntries(tiers: readonly EntryTier[], key: number): readonly OrderedEntry[] {
    const first: OrderedEntry[] = [];
    const further: OrderedEntry[] = [];
    // The same callers leave every place that is drained, so that half of a drain moves half of them out of a region.
    const threshold = mix(~key) / 2 ** 32;
    for (const tier of tiers) {
        const best = pickBest(tier, key, threshold);
        first.push(...best.slice(0, ENTRIES_OF_A_TIER));
        further.push(...best.slice(ENTRIES_OF_A_TIER));
        if (first.length >= MAXIMUM_RESPONSE_ENTRIES) {
            break;
        }
    }
    const chosen = [...first, ...further].slice(0, MAXIMUM_RESPONSE_ENTRIES);
    return chosen.length > 0
        ? chosen
        : tiers.flatMap(tier => pickBest(tier, key, Infinity)).slice(0, MAXIMUM_RESPONSE_ENTRIES);
}

/** Entries with the highest combined hash of caller and entry, in order; a full sort costs several microseconds. */
function pickBest(tier: EntryTier, key: number, threshold: number): OrderedEntry[] {
    const best: OrderedEntry[] = [];
    const scores: number[] = [];
    for (const candidate of tier) {
        const score = mix(key ^ candidate.hash);
        const isFull = best.length === MAXIMUM_RESPONSE_ENTRIES;
        if (candidate.drainedShare > threshold || isFull && score <= (scores[best.length - 1] as number)) {
            continue;
        }
        let position = isFull ? best.length - 1 : best.length;
        while (position > 0 && score > (scores[position - 1] as number)) {
            best[position] = best[position - 1] as OrderedEntry;
            scores[position] = scores[position - 1] as number;
            position--;
        }
        best[position] = candidate;
        scores[position] = score;
    }
    return best;
}

function hashWords(words: AddressWords): number {
    let hash = 0;
    for (let index = 0; index < words.length; index++) {
        hash = mix(hash ^ (words[index] as number));
    }
    return hash;
}

/** Spreads the bits of a number over 32 bits. */
function mix(value: number): number {
    let hash = Math.imul(value ^ value >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}
