import { Given, When } from "@cucumber/cucumber";
import { createApiClient } from "hyssopfront/command-line/http-client.ts";
import { applyResource, waitUntilInForce } from "hyssopfront/command-line/resource-client.ts";
import { ResourceKind } from "hyssopfront/resources/resource.ts";
import { LEAVING_GRACE_MS } from "../../checker/check-requests.js";
import { defineCommonSteps } from "../common-steps.js";
import { LoadKind, summarizeResponses } from "../load.js";
import { waitUntil } from "../scenario-world.js";

const IN_FORCE_TIMEOUT_MS = 30_000;
/** Time after the grace period during which late requests would be seen. */
const OBSERVATION_MS = 3_000;

const common = defineCommonSteps();

const recordDeparture = (service: string, backendServer: string, leftAt: number) =>
    common.scenario.departures.push({ service, backendServer, leftAt });

Given("a load at {word}, which is cut off from the other instances", async (name: string) => {
    common.scenario.cutOff(name);
    const load = common.scenario.startLoadAt(name, LoadKind.Idempotent, 40);
    await waitUntil(
        () => `20 completed requests at the cut-off entry; it responded ${summarizeResponses(load.attempts)}`,
        () => load.completed >= 20,
    );
});

When("{word} withdraws only from {word}", async (backendServer: string, entry: string) => {
    const { deployment } = common.scenario;
    const server = deployment.backendServers.find(({ name }) => name === backendServer)!;
    await server.leave([deployment.callerUrls.get(entry)!]);
    recordDeparture(server.service, backendServer, server.announcer.withdrawnAt!);
});

When("an immediate drain of {word} is in force", async (backendServer: string) => {
    const { deployment } = common.scenario;
    const { service } = deployment.backendServers.find(({ name }) => name === backendServer)!;
    const client = createApiClient({ servers: [...deployment.operatorAddresses.values()] });
    const spec = { target: { backendServer: { service, name: backendServer } }, paceSeconds: 0 };
    await applyResource(client, { kind: ResourceKind.Drain, name: "drain", spec });
    await waitUntilInForce(client, ResourceKind.Drain, "drain", IN_FORCE_TIMEOUT_MS);
    recordDeparture(service, backendServer, performance.now());
});

When("more than the grace period has passed since both left", () => {
    const end = performance.now() + LEAVING_GRACE_MS + OBSERVATION_MS;
    return waitUntil("the end of the observation time", () => performance.now() > end);
});
