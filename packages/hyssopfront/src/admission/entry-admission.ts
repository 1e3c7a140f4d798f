/**
 * Admission on an entry: local usage of each budget, and the quotas that the control leader grants.
 *
 * A quota consists of a floor, which the entry keeps while it is disconnected, and a leased part, which expires.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { AnnouncementSource } from "../announcements/announcement.js";
import type { ConfigurationSource, ConfigurationView } from "../configuration/configuration-view.js";
import { type QuotaDemand, type QuotaGrant, SESSION_LEASE_MS } from "../sessions/messages.js";
import { type Admission, type Budget, BudgetUnit } from "./admission.js";
import { type BudgetUsage, createBudgetUsage } from "./budget-usage.js";
import { connectionShare, deriveBudgets, deriveSlotsBudget, getFloor, slotsKey } from "./budgets.js";
import { createQuotaAdmission } from "./quota-admission.js";
import { chooseStandbySlots } from "./standby.js";

/**
 * Key under which the quota allocator sends its leadership term and the entry returns it. A renewal with the current
 * term was sent after that leadership began, however long its delivery took.
 */
export const ALLOCATOR_TERM_KEY = "grantor";
/**
 * Multiple of its demand up to which an entry keeps the quota of a rate. The entry releases the rest at each renewal.
 */
const RETAINED_DEMAND_FACTOR = 2;

export type EntryAdmissionOptions = {
    readonly clock: Clock;
    /** Name of this entry. */
    readonly entry: string;
    readonly configuration: ConfigurationSource;
    /** Source of the backend servers whose slots the entry can use. */
    readonly announcements: Pick<AnnouncementSource, "backendServers">;
};

export type EntryAdmission = Admission & {
    /**
     * Releases surplus quotas and returns the demands for the next session renewal. After this call, grants in the
     * replies to earlier renewals are ignored.
     */
    collectDemands(): QuotaDemand[];
    /**
     * Applies the grants in the reply to a session renewal.
     *
     * @param grants Grants of the reply.
     * @param sentAt Time on this entry's monotonic clock in milliseconds, read right before `collectDemands()` was called for
     * that renewal.
     */
    applyGrants(grants: readonly QuotaGrant[], sentAt: number): void;
    /** Returns the quota floor that the entry keeps while it is disconnected, or 0 before its first grant. */
    getHeldFloor(key: string): number;
    /** Unsubscribes from configuration changes. */
    close(): void;
};

type Lease = {
    floor: number;
    leased: number;
    /** Limit of the budget for which floor and leased units were granted. */
    limit: number;
    expiresAt: number;
    /** Floor in the last demand that the quota allocator has received, or `undefined` before the first reply. */
    acknowledgedFloor: number | undefined;
    reportedFloor: number | undefined;
};

type LeasedUsage = BudgetUsage & { readonly lease: Lease; availabilityZone: string | undefined };

/**
 * Creates the admission of one entry. It rejects all reservations until the first grants arrive.
 *
 * @param options Clock, name of the entry, and the sources of configuration and announcements.
 * @returns Admission with quotas that depend on the grants.
 */
export function createEntryAdmission(options: EntryAdmissionOptions): EntryAdmission {
    const { clock, entry, configuration, announcements } = options;
    const usages = new Map<string, LeasedUsage>();
    const connectionUsages = new Map<string, BudgetUsage>();
    let view = configuration.view();
    let allocatorTerm = 0;
    let lastReportAt = -Infinity;
    let previousReportAt = -Infinity;

    const addUsage = (budget: Budget) => {
        const lease = {
            floor: 0,
            leased: 0,
            limit: budget.limit,
            expiresAt: -Infinity,
            acknowledgedFloor: undefined,
            reportedFloor: undefined,
        };
        const usage = Object.assign(createBudgetUsage(budget), { lease, availabilityZone: undefined });
        usages.set(budget.key, usage);
        return usage;
    };

    const addSlotsUsage = (key: string) => {
        const budget = deriveSlotsBudget(view, key);
        return budget && addUsage(budget);
    };

    const addConnectionsUsage = (key: string) => {
        const [kind, service] = key.split("/");
        if (kind !== "connections" || !view.services.has(service ?? "")) {
            return undefined;
        }
        const usage = createBudgetUsage({ key, unit: BudgetUnit.Concurrent, limit: 0 });
        connectionUsages.set(key, usage);
        return usage;
    };

    const getUsage = (key: string) =>
        usages.get(key) ?? connectionUsages.get(key) ?? addSlotsUsage(key) ?? addConnectionsUsage(key);

    const getQuota = (usage: BudgetUsage, now: number) => {
        const leasedUsage = usages.get(usage.budget.key);
        if (leasedUsage === undefined) {
            return connectionShare(view, usage.budget.key.split("/")[1] ?? "");
        }
        return currentQuota(leasedUsage.lease, now);
    };

    const applyView = (changed: ConfigurationView) => {
        view = changed;
        const budgets = deriveBudgets(view);
        usages.forEach((usage, key) => {
            const budget = budgets.get(key) ?? deriveSlotsBudget(view, key);
            usage.budget = budget ?? { ...usage.budget, limit: 0 };
            // The quota allocator no longer counts the quotas of an entry that was removed from the configuration.
            scaleToLimit(usage.lease, view.entries.has(entry) ? usage.budget.limit : 0);
        });
        budgets.forEach((budget, key) => usages.has(key) || addUsage(budget));
    };

    const getHeldFloor = (key: string) => usages.get(key)?.lease.floor ?? 0;

    const trackAnnouncedBackendServers = () => {
        const announced = new Set<string>();
        const standby = new Set<string>();
        view.services.forEach((_spec, service) => {
            const backendServers = announcements.backendServers(service);
            backendServers.forEach(({ name, availabilityZone }) => {
                const key = slotsKey(service, name);
                announced.add(key);
                const usage = usages.get(key) ?? addSlotsUsage(key);
                if (usage !== undefined) {
                    usage.availabilityZone = availabilityZone;
                }
            });
            chooseStandbySlots(view, entry, backendServers, getHeldFloor)
                .forEach(key => standby.add(key));
        });
        return { announced, standby };
    };

    const createDemand = (
        key: string,
        usage: LeasedUsage,
        standby: number,
        now: number,
    ): QuotaDemand | undefined => {
        const { lease, budget, availabilityZone } = usage;
        const isUsable = budget.unit !== BudgetUnit.Concurrent || availabilityZone !== undefined;
        const wanted = isUsable ? Math.min(usage.estimateDemand(now), budget.limit) : 0;
        releaseSurplus(lease, budget.unit, Math.max(wanted, standby), now);
        const quota = currentQuota(lease, now);
        const held = Math.max(quota, usage.used(now));
        lease.reportedFloor = lease.floor;
        const isFloorCurrent = lease.acknowledgedFloor === lease.floor
            && isClose(lease.floor, getFloor(view, entry, budget, availabilityZone));
        if (wanted === 0 && standby === 0 && held <= lease.floor && isFloorCurrent) {
            return undefined;
        }
        const demand = { key, unit: budget.unit, wanted, held, portion: quota, floor: lease.floor, availabilityZone };
        return standby === 0 ? demand : { ...demand, standby };
    };

    /** Removes the quota of an absent backend server, and its usage when the quota allocator has received this. */
    const discardBackendServer = (key: string, usage: LeasedUsage, now: number) => {
        usage.availabilityZone = undefined;
        scaleToLimit(usage.lease, 0);
        if (usage.lease.acknowledgedFloor === 0 && usage.used(now) === 0 && usage.estimateDemand(now) === 0) {
            usages.delete(key);
        }
    };

    const collectDemands = () => {
        const now = clock.monotonicMilliseconds();
        previousReportAt = lastReportAt;
        lastReportAt = now;
        const { announced, standby } = trackAnnouncedBackendServers();
        // A disconnected entry keeps its floors, because the quota allocator cannot grant them again until it
        // reconnects. The backend server may only have missed one announcement.
        const mayDiscard = configuration.holdsViewLease();
        usages.forEach((usage, key) => {
            if (mayDiscard && usage.budget.unit === BudgetUnit.Concurrent && !announced.has(key)) {
                discardBackendServer(key, usage, now);
            }
        });
        const newDemands = [...usages].map(([key, usage]) => createDemand(key, usage, standby.has(key) ? 1 : 0, now));
        return [
            { key: ALLOCATOR_TERM_KEY, unit: BudgetUnit.Concurrent, wanted: 0, held: allocatorTerm },
            ...newDemands.filter(demand => demand !== undefined),
        ];
    };

    const applyGrants = (grants: readonly QuotaGrant[], sentAt: number) => {
        // Only grants for the latest renewal apply, because the units of earlier grants may have been granted to other
        // entries since. `sentAt` is slightly earlier than the report of its renewal, so it is compared with the middle
        // between the last two reports.
        if (sentAt <= (previousReportAt + lastReportAt) / 2) {
            return;
        }
        usages.forEach(({ lease }) => lease.acknowledgedFloor = lease.reportedFloor);
        grants.forEach(({ key, portion, floor = 0, limit }) => {
            const usage = usages.get(key);
            if (key === ALLOCATOR_TERM_KEY) {
                allocatorTerm = portion;
            }
            else if (usage !== undefined) {
                const { lease, budget } = usage;
                const isExtensionOnly = limit === undefined;
                lease.leased = isExtensionOnly
                    ? Math.min(portion, currentQuota(lease, clock.monotonicMilliseconds())) - lease.floor
                    : portion - floor;
                lease.leased = Math.max(0, lease.leased);
                lease.floor = isExtensionOnly ? lease.floor : floor;
                lease.limit = limit ?? lease.limit;
                lease.expiresAt = sentAt + SESSION_LEASE_MS;
                scaleToLimit(lease, view.entries.has(entry) ? budget.limit : 0);
            }
        });
    };

    const unsubscribe = configuration.onChange(applyView);
    applyView(view);
    return {
        ...createQuotaAdmission({ clock, getUsage, getQuota }),
        collectDemands,
        applyGrants,
        getHeldFloor,
        close: unsubscribe,
    };
}

function currentQuota(lease: Lease, now: number): number {
    return lease.floor + (now < lease.expiresAt ? lease.leased : 0);
}

/**
 * Scales a quota down when the limit falls. The quotas of all entries then stay within the new limit without new
 * grants. A raised limit has no effect until the next grant.
 */
function scaleToLimit(lease: Lease, limit: number): void {
    if (limit < lease.limit) {
        lease.floor *= limit / lease.limit;
        lease.leased *= limit / lease.limit;
        lease.limit = limit;
    }
}

function releaseSurplus(lease: Lease, unit: BudgetUnit, wanted: number, now: number): void {
    if (now >= lease.expiresAt) {
        lease.leased = 0;
    }
    const retained = unit === BudgetUnit.Concurrent ? wanted : wanted * RETAINED_DEMAND_FACTOR;
    lease.leased = Math.min(lease.leased, Math.max(0, retained - lease.floor));
}

function isClose(first: number, second: number): boolean {
    return Math.abs(first - second) <= 1e-9 * Math.max(first, second);
}
