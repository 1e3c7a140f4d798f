/**
 * Admission on an entry: accounts of the budgets, and the leased portions of them that the control leader granted.
 */
import type { Clock } from "@hyssopfront/coordination";
import type { AnnouncementSource } from "../announcements/announcement.js";
import type { ConfigurationSource, ConfigurationView } from "../configuration/configuration-view.js";
import { type QuotaDemand, type QuotaGrant, SESSION_LEASE_MS } from "../sessions/messages.js";
import { type Admission, type Budget, BudgetUnit } from "./admission.js";
import { type BudgetUsage, createBudgetUsage } from "./budget-usage.js";
import { connectionShare, deriveBudgets, deriveSlotsBudget, floorOf, slotsKey } from "./budgets.js";
import { createQuotaAdmission } from "./quota-admission.js";
import { chooseStandbySlots } from "./standby.js";

/**
 * Key under which a grantor names its term and the entry repeats it. A report that repeats the term was certainly sent
 * after that grantor began to lead, however long it was on its way.
 */
export const ALLOCATOR_TERM_KEY = "grantor";
/** Multiple of its demand that an entry keeps of a rate; what exceeds it goes back before the grantor asks for it. */
const KEPT_DEMAND = 2;

export type EntryAdmissionOptions = {
    readonly clock: Clock;
    /** Name of this entry. */
    readonly entry: string;
    readonly configuration: ConfigurationSource;
    /** Backend servers whose slots the entry may use. */
    readonly announcements: Pick<AnnouncementSource, "backendServers">;
};

export type EntryAdmission = Admission & {
    /**
     * Gives unwanted portions back and lists what the next renewal reports. From now on, grants that answer an earlier
     * renewal are ignored.
     */
    demands(): QuotaDemand[];
    /**
     * Takes the grants of a renewal over.
     *
     * @param sentAt Monotonic milliseconds of this entry, read right before the `demands()` of that renewal was called.
     */
    applyGrants(grants: readonly QuotaGrant[], sentAt: number): void;
    /** Units of the budget that stay with the entry while it is cut off; 0 until the grantor gave them. */
    heldFloorOf(key: string): number;
    /** Ends the subscription to the configuration. */
    close(): void;
};

type Lease = {
    floor: number;
    leased: number;
    /** Limit that floor and lease were cut from. */
    limit: number;
    expiresAt: number;
    /** Floor that the grantor last acknowledged from a report; undefined before. */
    acknowledgedFloor: number | undefined;
    reportedFloor: number | undefined;
};

type LeasedAccount = BudgetUsage & { readonly lease: Lease; availabilityZone: string | undefined };

/**
 * Creates the admission of one entry. It admits nothing until the first grants arrive.
 *
 * @param options Clock, name of the entry, and the sources of configuration and announcements.
 */
export function createEntryAdmission(options: EntryAdmissionOptions): EntryAdmission {
    const { clock, entry, configuration, announcements } = options;
    const accounts = new Map<string, LeasedAccount>();
    const connections = new Map<string, BudgetUsage>();
    let view = configuration.view();
    let grantorTerm = 0;
    let lastReportAt = -Infinity;
    let earlierReportAt = -Infinity;

    const open = (budget: Budget) => {
        const lease = {
            floor: 0,
            leased: 0,
            limit: budget.limit,
            expiresAt: -Infinity,
            acknowledgedFloor: undefined,
            reportedFloor: undefined,
        };
        const account = Object.assign(createBudgetUsage(budget), { lease, availabilityZone: undefined });
        accounts.set(budget.key, account);
        return account;
    };

    const openSlots = (key: string) => {
        const budget = deriveSlotsBudget(view, key);
        return budget && open(budget);
    };

    const openConnections = (key: string) => {
        const [kind, service] = key.split("/");
        if (kind !== "connections" || !view.services.has(service ?? "")) {
            return undefined;
        }
        const account = createBudgetUsage({ key, unit: BudgetUnit.Concurrent, limit: 0 });
        connections.set(key, account);
        return account;
    };

    const accountOf = (key: string) =>
        accounts.get(key) ?? connections.get(key) ?? openSlots(key) ?? openConnections(key);

    const portionOf = (account: BudgetUsage, now: number) => {
        const leased = accounts.get(account.budget.key);
        if (leased === undefined) {
            return connectionShare(view, account.budget.key.split("/")[1] ?? "");
        }
        return portionNow(leased.lease, now);
    };

    const applyView = (changed: ConfigurationView) => {
        view = changed;
        const budgets = deriveBudgets(view);
        accounts.forEach((account, key) => {
            const budget = budgets.get(key) ?? deriveSlotsBudget(view, key);
            account.budget = budget ?? { ...account.budget, limit: 0 };
            // An entry that was removed from the configuration is counted no longer, so it keeps nothing.
            scaleToLimit(account.lease, view.entries.has(entry) ? account.budget.limit : 0);
        });
        budgets.forEach((budget, key) => accounts.has(key) || open(budget));
    };

    const heldFloorOf = (key: string) => accounts.get(key)?.lease.floor ?? 0;

    const openAnnounced = () => {
        const announced = new Set<string>();
        const standby = new Set<string>();
        view.services.forEach((_spec, service) => {
            const backendServers = announcements.backendServers(service);
            backendServers.forEach(({ name, availabilityZone }) => {
                const key = slotsKey(service, name);
                announced.add(key);
                const account = accounts.get(key) ?? openSlots(key);
                if (account !== undefined) {
                    account.availabilityZone = availabilityZone;
                }
            });
            chooseStandbySlots(view, entry, backendServers, heldFloorOf)
                .forEach(key => standby.add(key));
        });
        return { announced, standby };
    };

    const report = (
        key: string,
        account: LeasedAccount,
        standby: number,
        now: number,
    ): QuotaDemand | undefined => {
        const { lease, budget, availabilityZone } = account;
        const isUsable = budget.unit !== BudgetUnit.Concurrent || availabilityZone !== undefined;
        const wanted = isUsable ? Math.min(account.estimateDemand(now), budget.limit) : 0;
        giveBackUnwanted(lease, budget.unit, Math.max(wanted, standby), now);
        const portion = portionNow(lease, now);
        const held = Math.max(portion, account.used(now));
        lease.reportedFloor = lease.floor;
        const isSettled = lease.acknowledgedFloor === lease.floor
            && isClose(lease.floor, floorOf(view, entry, budget, availabilityZone));
        if (wanted === 0 && standby === 0 && held <= lease.floor && isSettled) {
            return undefined;
        }
        const demand = { key, unit: budget.unit, wanted, held, portion, floor: lease.floor, availabilityZone };
        return standby === 0 ? demand : { ...demand, standby };
    };

    /** Drops the floor of a backend server that is gone, and the account once the grantor knows. */
    const retire = (key: string, account: LeasedAccount, now: number) => {
        account.availabilityZone = undefined;
        scaleToLimit(account.lease, 0);
        if (account.lease.acknowledgedFloor === 0 && account.used(now) === 0 && account.estimateDemand(now) === 0) {
            accounts.delete(key);
        }
    };

    const demands = () => {
        const now = clock.monotonicMilliseconds();
        earlierReportAt = lastReportAt;
        lastReportAt = now;
        const { announced, standby } = openAnnounced();
        // A cut-off entry keeps its floors, as the grantor does not hear that it gives them back; they would be lost until
        // it is connected again, although the backend server may only have been late with one announcement.
        const mayRetire = configuration.holdsViewLease();
        accounts.forEach((account, key) => {
            if (mayRetire && account.budget.unit === BudgetUnit.Concurrent && !announced.has(key)) {
                retire(key, account, now);
            }
        });
        const reports = [...accounts].map(([key, account]) => report(key, account, standby.has(key) ? 1 : 0, now));
        return [
            { key: ALLOCATOR_TERM_KEY, unit: BudgetUnit.Concurrent, wanted: 0, held: grantorTerm },
            ...reports.filter(demand => demand !== undefined),
        ];
    };

    const applyGrants = (grants: readonly QuotaGrant[], sentAt: number) => {
        // What an earlier renewal was granted may have been given to others since the entry reported again.
        if (sentAt <= (earlierReportAt + lastReportAt) / 2) {
            return;
        }
        accounts.forEach(({ lease }) => lease.acknowledgedFloor = lease.reportedFloor);
        grants.forEach(({ key, portion, floor = 0, limit }) => {
            const account = accounts.get(key);
            if (key === ALLOCATOR_TERM_KEY) {
                grantorTerm = portion;
            }
            else if (account !== undefined) {
                const { lease, budget } = account;
                const isProlonged = limit === undefined;
                lease.leased = isProlonged
                    ? Math.min(portion, portionNow(lease, clock.monotonicMilliseconds())) - lease.floor
                    : portion - floor;
                lease.leased = Math.max(0, lease.leased);
                lease.floor = isProlonged ? lease.floor : floor;
                lease.limit = limit ?? lease.limit;
                lease.expiresAt = sentAt + SESSION_LEASE_MS;
                scaleToLimit(lease, view.entries.has(entry) ? budget.limit : 0);
            }
        });
    };

    const endSubscription = configuration.onChange(applyView);
    applyView(view);
    return {
        ...createQuotaAdmission({ clock, accountOf, portionOf }),
        demands,
        applyGrants,
        heldFloorOf,
        close: endSubscription,
    };
}

function portionNow(lease: Lease, now: number): number {
    return lease.floor + (now < lease.expiresAt ? lease.leased : 0);
}

/**
 * Scales a portion down when the limit is lower than the one that it was cut from. Portions that together kept the old
 * limit then keep the new one without waiting for the grantor. A raised limit changes nothing until the next grant.
 */
function scaleToLimit(lease: Lease, limit: number): void {
    if (limit < lease.limit) {
        lease.floor *= limit / lease.limit;
        lease.leased *= limit / lease.limit;
        lease.limit = limit;
    }
}

function giveBackUnwanted(lease: Lease, unit: BudgetUnit, wanted: number, now: number): void {
    if (now >= lease.expiresAt) {
        lease.leased = 0;
    }
    const kept = unit === BudgetUnit.Concurrent ? wanted : wanted * KEPT_DEMAND;
    lease.leased = Math.min(lease.leased, Math.max(0, kept - lease.floor));
}

function isClose(first: number, second: number): boolean {
    return Math.abs(first - second) <= 1e-9 * Math.max(first, second);
}
