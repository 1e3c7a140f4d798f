import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { Flow } from "../../fault-proxy/fault-proxy.js";
import { defineCommonSteps } from "../common-steps.js";
import { readObject, sendChange, startOperator } from "../operators.js";
import { readControlStatus, waitFor, waitUntil } from "../scenario-world.js";

/** Longer than the leader lease, the view leases and the quotas, all of which expire within 5 s. */
const LEASE_EXPIRY_MS = 6_000;

const common = defineCommonSteps();
let isolated: string;
let isolatedAt: number;
let isolatedRecords: Parameters<typeof startOperator>[0];
let isolatedOperator: ReturnType<typeof startOperator>;

When("the control leader is silently isolated, and one operator keeps using it", async () => {
    const { deployment, records } = common.scenario;
    isolated = await common.scenario.findLeader();
    const address = deployment.operatorAddresses.get(isolated)!;
    deployment.partition((from, to) => from.name === isolated || to.name === isolated, Flow.Dropped);
    isolatedAt = performance.now();
    await common.scenario.findLeader([isolated]);
    // There is a new leader, so the isolated instance can no longer hold the leader lease.
    isolatedRecords = { changes: [], reads: [] };
    const object = records.changes[0]!.object;
    isolatedOperator = startOperator(isolatedRecords, new Map([[isolated, address]]), object, "transilvania");
    await sendChange(isolatedRecords, address, {
        requestId: "at-isolated",
        object,
        expectedRevision: records.changes.findLast(change => change.revision !== undefined)!.revision!,
        spec: { links: [] },
        instance: isolated,
    });
});

When(
    "the leases of the isolated instance have expired",
    () => waitUntil("the leases to expire", () => performance.now() > isolatedAt + LEASE_EXPIRY_MS),
);

When("the connections are healed", async () => {
    await isolatedOperator.stop();
    common.scenario.deployment.heal();
});

Then("the isolated instance accepted no change and served no fresh read", () => {
    assert.deepEqual(isolatedRecords.changes.filter(({ status }) => status !== undefined && status < 300), []);
    assert.deepEqual(isolatedRecords.reads, []);
    assert.ok(isolatedRecords.changes.length > 0);
});

When("the isolated instance serves again", async () => {
    const { deployment, records } = common.scenario;
    const address = deployment.operatorAddresses.get(isolated)!;
    await waitFor("the status of the isolated instance", () => readControlStatus(address));
    await waitFor(
        "a fresh read at the isolated instance",
        () => readObject(records, isolated, address, records.changes[0]!.object),
    );
});
