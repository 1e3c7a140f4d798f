/** Entry point of the hyssopfront binary. */
import { createCommandLine } from "./command-line/app.js";

void createCommandLine(process.env.HYSSOPFRONT_VERSION ?? "development").runExit(process.argv.slice(2));
