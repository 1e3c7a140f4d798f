/**
 * Load and completion rate of one service as an entry sees them in the responses that it gets.
 *
 * With dozens of entries, an entry gets a response of one backend server only every few seconds, which is too rarely to tell
 * whether that one has a free slot now. The responses of all backend servers of a service together come many times a
 * second and tell how loaded they are on average.
 */
import type { Clock } from "@hyssopfront/coordination";

/** Time constant of the exponentially decaying sums, in milliseconds: about 15 responses at 15 a second. */
const DECAY_MS = 1_000;
/** Responses, after decay, below which the average says too little. */
const MINIMUM_RESPONSES = 3;

/** Recent responses of one service to one entry. */
export type ServicePressure = {
    /** Records a response and the reported load of its backend server, as a share of its slots; 0 if it reports none. */
    recordResponse(loadRatio: number): void;
    /** Returns the average load of the backend servers, as a share of their slots; undefined without recent reports. */
    averageLoadRatio(): number | undefined;
    /** Returns the responses per millisecond, averaged over about a second. */
    completionRate(): number;
};

/** Creates the pressure of a service that has not responded yet. */
export function createServicePressure(clock: Clock): ServicePressure {
    let loadRatios = 0;
    let responses = 0;
    let updatedAt = clock.monotonicMilliseconds();

    const decay = () => {
        const now = clock.monotonicMilliseconds();
        const factor = Math.exp((updatedAt - now) / DECAY_MS);
        loadRatios *= factor;
        responses *= factor;
        updatedAt = now;
    };

    return {
        recordResponse: loadRatio => {
            decay();
            loadRatios += loadRatio;
            responses += 1;
        },
        averageLoadRatio: () => {
            decay();
            return responses < MINIMUM_RESPONSES ? undefined : loadRatios / responses;
        },
        completionRate: () => {
            decay();
            return responses / DECAY_MS;
        },
    };
}
