/**
 * Entry point of a control process in tests and benchmarks. Its argument is the path of the settings as JSON.
 */
import { createSystemClock } from "@hyssopfront/coordination";
import { readFileSync } from "node:fs";
import type { ControlSettings } from "../control-settings.js";
import { startControl } from "../start-control.js";

const settings = JSON.parse(readFileSync(process.argv[2] ?? "", "utf8")) as ControlSettings;
const control = await startControl(settings, createSystemClock(), {
    onFailure: error => {
        process.stderr.write(`${error.stack}\n`);
        process.exit(1);
    },
});
process.once("SIGTERM", () => void control.stop().then(() => process.exit(0)));
process.stdout.write("ready\n");
