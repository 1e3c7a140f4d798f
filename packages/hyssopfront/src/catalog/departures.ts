/**
 * Departures of backend servers that the group has acknowledged. They are kept by its log, so that an announcement that
 * was delayed does not bring a departed backend server back after all control instances have restarted.
 */

/** Most departures that are kept. An announcement is not delayed for as long as that many departures take. */
const MAXIMUM_DEPARTURES = 1_000;

/** Departure of one start of a backend server. */
export type Departure = {
    /** Identifier of the backend server. */
    readonly id: string;
    /** Start that the departure belongs to, in Unix milliseconds; earlier starts have ended as well. */
    readonly startedAt: number;
};

/** The latest departures, one for each backend server. */
export type Departures = {
    /** @returns True if the departure belongs to a later start than the known one. */
    add(departure: Departure): boolean;
    /** Returns all departures, the oldest first. */
    list(): readonly Departure[];
};

/** Creates the list from departures in the order in which they were acknowledged. */
export function createDepartures(initial: readonly Departure[]): Departures {
    const startedAtById = new Map(initial.map(({ id, startedAt }) => [id, startedAt]));
    return {
        add: ({ id, startedAt }) => {
            const known = startedAtById.get(id);
            if (known !== undefined && known >= startedAt) {
                return false;
            }
            startedAtById.delete(id);
            startedAtById.set(id, startedAt);
            const [oldest] = startedAtById.keys();
            if (startedAtById.size > MAXIMUM_DEPARTURES && oldest !== undefined) {
                startedAtById.delete(oldest);
            }
            return true;
        },
        list: () => [...startedAtById].map(([id, startedAt]) => ({ id, startedAt })),
    };
}
