/**
 * Submits the evacuation orders of operators to the catalog.
 *
 * Such an order has no version. A caller that gets no response in time sends it again to another instance, and the copy
 * that it has abandoned may be read seconds later, after newer orders. An order is therefore submitted only while its
 * caller waits, and takes effect only if the evacuation has not changed since that was checked.
 */
import type { Clock } from "@hyssopfront/coordination";
import { CommandKind, NO_VERSION } from "../catalog/catalog-state.js";
import { ItemKind } from "../catalog/items.js";
import { type CatalogGroup, CatalogUnavailableError } from "./catalog-group.js";

/**
 * Pause before an order is submitted, in milliseconds. After an interruption of the instance or its network, an order
 * that its caller has abandoned is read shortly before the end of its connection.
 */
const SETTLE_MS = 100;
/** Pause before an order is submitted again on a newer version of the evacuation, in milliseconds. */
const RETRY_PAUSE_MS = 50;

/** Order of an operator to evacuate an availability zone or to end its evacuation. */
export type EvacuationOrder = {
    readonly availabilityZone: string;
    readonly isActive: boolean;
    /** Returns false once the caller has closed its connection. */
    readonly isCallerWaiting: () => boolean;
};

/** Thrown when the caller of an order has left before the order was submitted. */
export class CallerLeftError extends Error {
    readonly step = "submit the evacuation";
    constructor(availabilityZone: string) {
        super(`The caller of an evacuation order for ${availabilityZone} has left.`);
        this.name = "CallerLeftError";
    }
}

/**
 * Submits an order. Resolves once it is committed.
 *
 * @throws CallerLeftError when the caller has left before the order was submitted.
 * @throws CatalogUnavailableError when the outcome is unknown, or other orders have kept it from taking effect, at the
 * deadline.
 */
export async function submitEvacuation(
    { clock, catalog }: { readonly clock: Clock; readonly catalog: Pick<CatalogGroup, "find" | "submit"> },
    { availabilityZone, isActive, isCallerWaiting }: EvacuationOrder,
    deadlineMilliseconds: number,
): Promise<void> {
    const endsAt = clock.monotonicMilliseconds() + deadlineMilliseconds;
    await clock.sleep(SETTLE_MS);
    for (;;) {
        if (!isCallerWaiting()) {
            throw new CallerLeftError(availabilityZone);
        }
        const expectedVersion = catalog.find(ItemKind.Evacuation, availabilityZone)?.version ?? NO_VERSION;
        const { isSuperseded } = await catalog.submit(
            { kind: CommandKind.Evacuate, availabilityZone, isActive, expectedVersion },
            endsAt - clock.monotonicMilliseconds(),
        );
        if (isSuperseded !== true) {
            return;
        }
        if (clock.monotonicMilliseconds() + RETRY_PAUSE_MS >= endsAt) {
            throw new CatalogUnavailableError("evacuate", new Error("The evacuation was changed by other orders."));
        }
        await clock.sleep(RETRY_PAUSE_MS);
    }
}
