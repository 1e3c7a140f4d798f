import { When } from "@cucumber/cucumber";
import { defineCommonSteps } from "../common-steps.js";

const common = defineCommonSteps();
let killed: readonly string[];

const kill = async (names: readonly string[]) => {
    killed = names;
    await Promise.all(names.map(name => common.scenario.deployment.signal(name, "SIGKILL")));
};

When("the control leader is killed", async () => kill([await common.scenario.findLeader()]));
When("all control processes are killed", () => kill([...common.scenario.deployment.operatorAddresses.keys()]));
When(
    "the killed control instances start again",
    () => Promise.all(killed.map(name => common.scenario.deployment.start(name))),
);
