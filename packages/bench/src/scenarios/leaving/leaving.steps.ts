import { Given, When } from "@cucumber/cucumber";
import { createApiClient } from "hyssopfront/command-line/http-client.ts";
import { applyResource, waitUntilInForce } from "hyssopfront/command-line/resource-client.ts";
import { ResourceKind } from "hyssopfront/resources/resource.ts";
import { LEAVING_GRACE_MS } from "../../checker/check-requests.js";
import { defineCommonSteps } from "../common-steps.js";
import { LoadKind, summarizeAnswers } from "../load.js";
import { waitUntil } from "../scenario-world.js";

const IN_FORCE_MS = 30_000;
/** Time in which late work would show after the bound. */
const WATCHED_MS = 3_000;

const common = defineCommonSteps();

const left = (service: string, backendServer: string, leftAt: number) =>
    common.scenario.departures.push({ service, backendServer, leftAt });

Given("a load at {word}, which is cut off from the other instances", async (name: string) => {
    common.scenario.cutOff(name);
    const load = common.scenario.startLoadAt(name, LoadKind.Idempotent, 40);
    await waitUntil(
        () => `20 answers of the cut-off entry; it gave ${summarizeAnswers(load.attempts)}`,
        () => load.answered >= 20,
    );
});

When("{word} withdraws at {word} only", async (backendServer: string, entry: string) => {
    const { deployment } = common.scenario;
    const server = deployment.backendServers.find(({ name }) => name === backendServer)!;
    await server.leave([deployment.callerUrls.get(entry)!]);
    left(server.service, backendServer, server.announcer.withdrawnAt!);
});

When("a drain of {word} at once is in force", async (backendServer: string) => {
    const { deployment } = common.scenario;
    const { service } = deployment.backendServers.find(({ name }) => name === backendServer)!;
    const client = createApiClient({ servers: [...deployment.operatorAddresses.values()] });
    const spec = { target: { backendServer: { service, name: backendServer } }, paceSeconds: 0 };
    await applyResource(client, { kind: ResourceKind.Drain, name: "drain", spec });
    await waitUntilInForce(client, ResourceKind.Drain, "drain", IN_FORCE_MS);
    left(service, backendServer, performance.now());
});

When("both have left for longer than the bound", () => {
    const end = performance.now() + LEAVING_GRACE_MS + WATCHED_MS;
    return waitUntil("the end of the watched time", () => performance.now() > end);
});
