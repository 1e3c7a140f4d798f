/**
 * Commands for traffic steering: drain, shift, lookup.
 */
import { Command, Option } from "clipanion";
import { ResourceKind } from "../resources/resource.js";
import { ControlCommand, PrintingCommand } from "./command-base.js";
import { CommandError, ExitCode } from "./exit-code.js";
import { createApiClient } from "./http-client.js";
import { applyResource, waitUntilInForce } from "./resource-client.js";

const STEERING = "Steering";
const IN_FORCE_TIMEOUT_MS = 15_000;
const DEFAULT_ENTRY_ADDRESS = "127.0.0.1:7101";

const parseNumber = (name: string, text: string) => {
    const value = Number(text);
    if (text === "" || !Number.isFinite(value)) {
        throw new CommandError(ExitCode.Usage, name, "", `"${text}" is not a number.`);
    }
    return value;
};

/** Parses `region/NAME` or `zone/NAME`; `name` is the option or argument that the error names. */
const parseLocation = (name: string, text: string) => {
    const [kind, location] = text.split("/");
    if (location !== undefined && location !== "" && kind === "region") {
        return { region: location };
    }
    if (location !== undefined && location !== "" && kind === "zone") {
        return { availabilityZone: location };
    }
    throw new CommandError(ExitCode.Usage, name, "", `Write region/NAME or zone/NAME instead of "${text}".`);
};

/** Parses `backend-server/SERVICE/NAME`, `region/NAME` or `zone/NAME`. */
const parseTarget = (text: string) => {
    const [kind, service, name] = text.split("/");
    if (kind === "backend-server" && service !== undefined && name !== undefined) {
        return { backendServer: { service, name } };
    }
    return parseLocation("target", text);
};

export class DrainCommand extends ControlCommand {
    static override readonly paths = [["drain"]];
    static override readonly usage = Command.Usage({
        category: STEERING,
        description: "Drain a backend server, an availability zone or a region.",
        details:
            "The target is `backend-server/SERVICE/NAME`, `zone/NAME` or `region/NAME`. Delete the drain to end it.",
        examples: [
            ["Drain an availability zone over a minute", "$0 drain maintenance zone/sibiu-2 --pace-seconds 60"],
            ["End it", "$0 delete drain maintenance"],
        ],
    });

    name = Option.String();
    target = Option.String();
    paceSeconds = Option.String("--pace-seconds", "10", { description: "Time over which the load moves away." });
    deadlineSeconds = Option.String("--deadline-seconds", {
        description: "Time after which the drain counts as late.",
    });

    async run(): Promise<ExitCode> {
        const client = this.createClient();
        const deadline = this.deadlineSeconds;
        const spec = {
            target: parseTarget(this.target),
            paceSeconds: parseNumber("--pace-seconds", this.paceSeconds),
            ...(deadline === undefined ? {} : { deadlineSeconds: parseNumber("--deadline-seconds", deadline) }),
        };
        await applyResource(client, { kind: ResourceKind.Drain, name: this.name, spec });
        const drain = await waitUntilInForce(client, ResourceKind.Drain, this.name, IN_FORCE_TIMEOUT_MS);
        this.print(drain, ["drain", "target", "in force"], [[this.name, this.target, "yes"]]);
        return ExitCode.Success;
    }
}

export class ShiftCommand extends ControlCommand {
    static override readonly paths = [["shift"]];
    static override readonly usage = Command.Usage({
        category: STEERING,
        description: "Shift a part of a service's traffic to another place, within a cap.",
        examples: [[
            "Move 30% of stoc from muntenia to moldova, at most 200 requests/s",
            "$0 shift evening --service stoc --from region/muntenia --to region/moldova --percent 30 "
            + "--requests-per-second 200 --bytes-per-second 20000000",
        ]],
    });

    name = Option.String();
    service = Option.String("--service", { required: true });
    from = Option.String("--from", { required: true, description: "region/NAME or zone/NAME" });
    to = Option.String("--to", { required: true, description: "region/NAME or zone/NAME" });
    percent = Option.String("--percent", { required: true });
    requestsPerSecond = Option.String("--requests-per-second", { required: true });
    bytesPerSecond = Option.String("--bytes-per-second", { required: true });

    async run(): Promise<ExitCode> {
        const client = this.createClient();
        const spec = {
            service: this.service,
            from: parseLocation("--from", this.from),
            to: parseLocation("--to", this.to),
            percent: parseNumber("--percent", this.percent),
            cap: {
                requestsPerSecond: parseNumber("--requests-per-second", this.requestsPerSecond),
                bytesPerSecond: parseNumber("--bytes-per-second", this.bytesPerSecond),
            },
        };
        await applyResource(client, { kind: ResourceKind.Shift, name: this.name, spec });
        const shift = await waitUntilInForce(client, ResourceKind.Shift, this.name, IN_FORCE_TIMEOUT_MS);
        this.print(shift, ["shift", "service", "in force"], [[this.name, this.service, "yes"]]);
        return ExitCode.Success;
    }
}

type LookupEntry = { name: string; address: string; port: number; availabilityZone: string };

export class LookupCommand extends PrintingCommand {
    static override readonly paths = [["lookup"]];
    static override readonly usage = Command.Usage({
        category: STEERING,
        description: "Ask an entry which entry instances a caller should use.",
        examples: [["By address", "$0 lookup stoc --address 10.1.2.3"], ["By zone", "$0 lookup stoc --zone sibiu-1"]],
    });

    service = Option.String();
    address = Option.String("--address", { description: "IP address of the caller." });
    zone = Option.String("--zone", { description: "Availability zone of the caller." });
    entry = Option.Array("--entry,-e", { description: "Address and caller port of an entry." });

    async run(): Promise<ExitCode> {
        const query = new URLSearchParams({
            service: this.service,
            ...(this.address === undefined ? {} : { address: this.address }),
            ...(this.zone === undefined ? {} : { availabilityZone: this.zone }),
        });
        const client = createApiClient({ servers: this.entry ?? [DEFAULT_ENTRY_ADDRESS] });
        const { body } = await client.sendChecked({ method: "GET", path: `/v1/lookup?${query}` });
        const entries = body.entries as LookupEntry[];
        this.print(
            body,
            ["entry", "address", "availability zone", "time to live"],
            entries.map(({ name, address, port, availabilityZone }) => [
                name,
                `${address}:${port}`,
                availabilityZone,
                `${String(body.timeToLiveSeconds)} s`,
            ]),
        );
        return ExitCode.Success;
    }
}
