/**
 * Entry selection: responds to lookups with the entries that a caller should use, in order of preference.
 */
import type { Clock } from "@hyssopfront/coordination";
import { hashText } from "../admission/budgets.js";
import type { ConfigurationSource, ConfigurationView } from "../configuration/configuration-view.js";
import type { DrainShares } from "../drains/drain-tracker.js";
import type { AddressWords } from "./address.js";
import { createClientZoneTable } from "./client-zone-table.js";
import { computeEntryOrder, type EntryOrder, type EntryTier, type OrderedEntry } from "./entry-order.js";
import { createYieldIfNeeded } from "./yield-if-needed.js";

/** Bounds the size of a response. Enough entries to survive the failure of several between two lookups. */
export const MAXIMUM_RESPONSE_ENTRIES = 8;
/** Limit for one tier while other tiers have entries, so that callers have alternatives when a zone fails. */
const MAXIMUM_TIER_ENTRIES = 4;
/** Returned without a view lease: the configuration may be out of date, so callers should look up again soon. */
export const STALE_TIME_TO_LIVE_SECONDS = 1;

/** Drain progress is read at intervals, because reading it for all entries at each lookup would be slow. */
const DRAIN_REFRESH_INTERVAL_MS = 100;

/** What a lookup specifies about its caller. */
export type LookupCaller = {
    /** Address of the caller. The client block that contains it determines the availability zone. */
    readonly address?: AddressWords;
    /** Availability zone that the caller specified; takes precedence over the address. */
    readonly availabilityZone?: string;
};

/** An entry in the JSON body of a response. */
export type LookupResponseEntry = {
    readonly name: string;
    readonly address: string;
    readonly port: number;
    readonly availabilityZone: string;
};

/** JSON body of a successful response. */
export type LookupResponse = {
    readonly service: string;
    readonly entries: readonly LookupResponseEntry[];
    readonly timeToLiveSeconds: number;
    /** Revision of the configuration from which the entries were selected. */
    readonly revision: number;
    /** True when the entry holds no view lease, so that its configuration may be out of date. */
    readonly stale: boolean;
};

/** Responds to lookups of one entry. */
export type EntrySelection = {
    /** Selects the entries for a caller. Returns undefined for an unknown service. */
    lookUp(service: string, caller: LookupCaller): LookupResponse | undefined;
    /** False until the first configuration was applied. */
    isReady(): boolean;
    /** True when the availability zone is declared. */
    hasAvailabilityZone(name: string): boolean;
    /** Resolves when lookups use the configuration that was current at the call. */
    waitForUpdate(): Promise<void>;
    /** Ends the subscription to the configuration. */
    close(): void;
};

/** Dependencies of the entry selection of one entry. */
export type EntrySelectionOptions = {
    readonly clock: Clock;
    readonly configuration: ConfigurationSource;
    readonly drains: Pick<DrainShares, "entryShare">;
    /** Availability zone of this entry. Used for callers whose address is in no client block. */
    readonly availabilityZone: string;
};

type Tables = { readonly view: ConfigurationView; readonly order: EntryOrder };

/**
 * Creates the entry selection of one entry. Applies configuration changes in the background while lookups continue.
 */
export function createEntrySelection(options: EntrySelectionOptions): EntrySelection {
    const { clock, configuration, drains, availabilityZone } = options;
    const clientZones = createClientZoneTable(clock);
    const yieldIfNeeded = createYieldIfNeeded(clock);
    let drainsReadAt = -Infinity;
    let refreshedOrder: EntryOrder | undefined;
    let tables: Tables | undefined;
    let pendingView: ConfigurationView | undefined;
    let update: Promise<void> | undefined;

    const updateTables = async () => {
        while (pendingView !== undefined) {
            const view = pendingView;
            pendingView = undefined;
            // The order of entries comes first: it is small and urgent, whereas client blocks can take a second.
            // Responses contain the new revision only when both are applied.
            const order = await computeEntryOrder(view, yieldIfNeeded);
            tables = { view: { ...view, revision: tables?.view.revision ?? view.revision }, order };
            await clientZones.update(view.availabilityZones);
            tables = { view, order };
        }
        update = undefined;
    };

    const applyView = (view: ConfigurationView) => {
        pendingView = view;
        update ??= updateTables();
    };

    const refreshDrainedFractions = (order: EntryOrder) => {
        const now = clock.monotonicMilliseconds();
        if (now >= drainsReadAt + DRAIN_REFRESH_INTERVAL_MS || order !== refreshedOrder) {
            drainsReadAt = now;
            refreshedOrder = order;
            order.entries.forEach(ordered => ordered.drainedShare = drains.entryShare(ordered.entry));
        }
    };

    const lookUp = (service: string, caller: LookupCaller): LookupResponse | undefined => {
        const spec = tables?.view.services.get(service);
        if (tables === undefined || spec === undefined) {
            return undefined;
        }
        const zone = caller.availabilityZone
            ?? (caller.address && clientZones.find(caller.address))
            ?? availabilityZone;
        const key = caller.address === undefined ? hashText(zone) : hashWords(caller.address);
        refreshDrainedFractions(tables.order);
        const stale = !configuration.holdsViewLease();
        return {
            service,
            entries: selectEntries(tables.order.tiers(service, zone) ?? [], key).map(toResponseEntry),
            timeToLiveSeconds: stale
                ? Math.min(spec.timeToLiveSeconds, STALE_TIME_TO_LIVE_SECONDS)
                : spec.timeToLiveSeconds,
            revision: tables.view.revision,
            stale,
        };
    };

    const unsubscribe = configuration.onChange(applyView);
    applyView(configuration.view());
    return {
        lookUp,
        isReady: () => tables !== undefined && tables.view.revision > 0,
        hasAvailabilityZone: name => tables?.view.availabilityZones.has(name) ?? false,
        waitForUpdate: async () => update,
        close: unsubscribe,
    };
}

function toResponseEntry({ entry }: OrderedEntry): LookupResponseEntry {
    const { name, address, callerPort, availabilityZone } = entry;
    return { name, address, port: callerPort, availabilityZone };
}

/**
 * Selects the entries of a response by rendezvous hashing. Within a tier, each caller has its own order, which does not
 * change while the entries stay the same. The callers of an entry that leaves spread over all remaining entries.
 * Drained entries are returned only when there are no others.
 *
 * @param key Hash that identifies the caller and stays the same across lookups.
 */
function selectEntries(tiers: readonly EntryTier[], key: number): readonly OrderedEntry[] {
    const preferred: OrderedEntry[] = [];
    const remaining: OrderedEntry[] = [];
    // The threshold depends on the caller alone: the same callers leave every drained zone of a region, so that a drain
    // of one half moves half of the callers out of the region.
    const threshold = mixBits(~key) / 2 ** 32;
    for (const tier of tiers) {
        const best = selectHighestScores(tier, key, threshold);
        preferred.push(...best.slice(0, MAXIMUM_TIER_ENTRIES));
        remaining.push(...best.slice(MAXIMUM_TIER_ENTRIES));
        if (preferred.length >= MAXIMUM_RESPONSE_ENTRIES) {
            break;
        }
    }
    const selected = [...preferred, ...remaining].slice(0, MAXIMUM_RESPONSE_ENTRIES);
    return selected.length > 0
        ? selected
        : tiers.flatMap(tier => selectHighestScores(tier, key, Infinity)).slice(0, MAXIMUM_RESPONSE_ENTRIES);
}

/**
 * Returns the entries with the highest combined hashes of caller and entry, in descending order. A full sort would take
 * several microseconds.
 */
function selectHighestScores(tier: EntryTier, key: number, threshold: number): OrderedEntry[] {
    const best: OrderedEntry[] = [];
    const scores: number[] = [];
    for (const candidate of tier) {
        const score = mixBits(key ^ candidate.hash);
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
        hash = mixBits(hash ^ (words[index] as number));
    }
    return hash;
}

/** Mixes the bits of a number into 32 uniformly distributed bits, as the finalizer of MurmurHash3 does. */
function mixBits(value: number): number {
    let hash = Math.imul(value ^ value >>> 16, 0x85ebca6b);
    hash = Math.imul(hash ^ hash >>> 13, 0xc2b2ae35);
    return (hash ^ hash >>> 16) >>> 0;
}
