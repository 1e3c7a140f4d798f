import { setDefaultTimeout, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { SimulatedEnd } from "../load-balancing/simulated-call.js";
import { simulateService } from "../load-balancing/simulated-service.js";
import { createPressureLoad, SURGING_ACCOUNT, type Trouble } from "./pressure-load.js";
import { createPriorityAdmission } from "./priority-admission.js";

const SECOND_MS = 1_000;
/** Time after the last counted request by which all of them have ended: their longest deadline. */
const LONGEST_DEADLINE_MS = 10_031;
/** Time after which the caches are filled in the simulation, also without priority admission. */
const WARM_AT_MS = 20 * SECOND_MS;
const SEED = 1;
const TOLERATED_DIFFERENCE = 0.05;
const LEAST_SHARE_OF_AVERAGE = 0.25;

// Two simulations of up to 40 s each with 15,000 requests; a busy machine takes ten times as long.
setDefaultTimeout(300 * SECOND_MS);

type Case = { readonly trouble: Trouble; readonly countedFrom: number; readonly countedUntil: number };
const afterWarmUp = (milliseconds: number) => [WARM_AT_MS, WARM_AT_MS + milliseconds] as const;
const createCase = (trouble: Trouble, [countedFrom, countedUntil]: readonly [number, number]): Case => ({
    trouble,
    countedFrom,
    countedUntil,
});
const CASES: Readonly<Record<string, Case>> = {
    "while all caches are cold": createCase({}, [0, 12 * SECOND_MS]),
    "in a burst of 1.7 times the usual rate": createCase(
        { burst: afterWarmUp(3 * SECOND_MS) },
        afterWarmUp(6 * SECOND_MS),
    ),
    "after a quarter of the backend servers is lost": createCase(
        { lostFrom: WARM_AT_MS },
        afterWarmUp(12 * SECOND_MS),
    ),
    "while one account sends 7.5 times its usual amount": createCase(
        { surge: afterWarmUp(10 * SECOND_MS) },
        afterWarmUp(12 * SECOND_MS),
    ),
    "while one account sends 7.5 times its usual amount with priority 0": createCase(
        { surge: afterWarmUp(10 * SECOND_MS), surgingPriority: 0 },
        afterWarmUp(12 * SECOND_MS),
    ),
    "during all of this at the same time": createCase(
        { lostFrom: 0, burst: [3 * SECOND_MS, 6 * SECOND_MS], surge: [2 * SECOND_MS, 14 * SECOND_MS] },
        [0, 16 * SECOND_MS],
    ),
    "long after the caches have been filled": createCase({}, [30 * SECOND_MS, 36 * SECOND_MS]),
};

let without: readonly SimulatedEnd[];
let withAdmission: readonly SimulatedEnd[];

const simulate = async ({ trouble, countedFrom, countedUntil }: Case, hasAdmission: boolean) => {
    const ends: SimulatedEnd[] = [];
    const service = createPressureLoad(trouble, end => ends.push(end));
    const createAdmission = hasAdmission ? { createAdmission: createPriorityAdmission } : {};
    await simulateService({ ...service, ...createAdmission }, countedUntil + LONGEST_DEADLINE_MS, SEED);
    return ends.filter(({ startedAt }) => startedAt >= countedFrom && startedAt < countedUntil);
};
const share = (ends: readonly SimulatedEnd[], isCounted: (end: SimulatedEnd) => boolean) =>
    ends.filter(isCounted).length / ends.length;
const isServed = ({ outcome }: SimulatedEnd) => outcome === "answered";
const isInObjective = ({ outcome, milliseconds, call }: SimulatedEnd) =>
    outcome === "answered" && milliseconds <= call.objectiveMilliseconds;
/** Shares of served requests by a property of the calls. */
const servedBy = (ends: readonly SimulatedEnd[], getKey: (end: SimulatedEnd) => string) =>
    new Map(
        [...new Set(ends.map(getKey))].map(key => [key, share(ends.filter(end => getKey(end) === key), isServed)]),
    );
const getPriority = ({ call }: SimulatedEnd) => String(call.priority);
const getAccount = ({ call }: SimulatedEnd) => call.account ?? "";

/** Prints the figures of a run in percent, for reports. */
const printFigures = (event: string, hasAdmission: boolean, ends: readonly SimulatedEnd[]) => {
    const percent = (value: number) => (value * 100).toFixed(1);
    const kinds = ["0", "2"].map(priority => {
        const kind = ends.filter(end => getPriority(end) === priority);
        const rejections = kind.reduce((sum, end) => sum + end.rejections, 0);
        return `priority ${priority}: ${kind.length} calls, in objective ${
            percent(share(kind, isInObjective))
        }, served `
            + `${percent(share(kind, isServed))}, ${rejections} rejections`;
    });
    const accounts = servedBy(ends, getAccount);
    const surging = percent(accounts.get(SURGING_ACCOUNT) ?? 0);
    process.stdout.write(`${
        [
            `${hasAdmission ? "with" : "without"} priority admission, ${event}`,
            ...kinds,
            `accounts: least served ${percent(Math.min(...accounts.values()))}, largest ${surging}`,
        ].join("; ")
    }\n`);
};

When(/^requests arrive (.+)$/, async (event: string) => {
    const selected = CASES[event];
    assert.ok(selected !== undefined, `There is no case ${event}.`);
    [without, withAdmission] = await Promise.all([simulate(selected, false), simulate(selected, true)]);
    if (process.env["PRESSURE_FIGURES"] !== undefined) {
        [without, withAdmission].forEach((ends, index) => printFigures(event, index === 1, ends));
    }
});
Then("urgent requests are served as often as less urgent ones, or at most 5 in 100 less", () => {
    const served = servedBy(withAdmission, getPriority);
    const [urgent, others] = [served.get("0") ?? 0, served.get("2") ?? 0];
    assert.ok(urgent >= others - TOLERATED_DIFFERENCE, `${urgent} of the urgent ones, ${others} of the others.`);
});
Then("each kind and each account is served at least a quarter as often as the average of all", () => {
    const average = share(withAdmission, isServed);
    [...servedBy(withAdmission, getPriority), ...servedBy(withAdmission, getAccount)].forEach(([key, served]) =>
        assert.ok(served >= average * LEAST_SHARE_OF_AVERAGE, `${key}: ${served} of ${average}.`)
    );
});
Then("more requests are served within their objectives than without priority admission", () => {
    const [before, after] = [share(without, isInObjective), share(withAdmission, isInObjective)];
    assert.ok(after > before, `${after} instead of ${before}.`);
});
Then("at most {int} in 100 requests are rejected", (most: number) => {
    const rejected = share(withAdmission, ({ outcome }) => outcome === "refused");
    assert.ok(rejected * 100 <= most, `${rejected} are rejected.`);
});
