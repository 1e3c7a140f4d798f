/**
 * Settings of one process, read from a TOML file and validated completely before anything starts.
 */
import { readFileSync } from "node:fs";
import { isIP } from "node:net";
import { parse, TomlError } from "smol-toml";
import { z } from "zod";
import { nameSchema } from "../resources/resource.js";
import { isRoutableAddress } from "./address.js";

/** A problem in a settings file. */
export type SettingsProblem = {
    /** Path of the key, such as `controlInstances.0.address`; empty when the problem concerns the whole file. */
    readonly key: string;
    /** What is expected at the key. */
    readonly message: string;
};

/** The settings file is not valid. Contains all problems that were found. */
export class SettingsError extends Error {
    override readonly name = "SettingsError";

    constructor(
        readonly file: string,
        readonly step: "read" | "parse" | "check",
        readonly problems: readonly SettingsProblem[],
    ) {
        super(
            problems.map(problem => `${file}: ${problem.key === "" ? "" : `${problem.key}: `}${problem.message}`).join(
                "\n",
            ),
        );
    }
}

const addressSchema = z.string()
    .refine(text => isIP(text) !== 0, "Use an IP address, not a host name.")
    .refine(text => isIP(text) === 0 || isRoutableAddress(text), "Use an address that other instances can reach.");
const portSchema = z.int().min(1, "Use a port from 1 to 65535.").max(65_535, "Use a port from 1 to 65535.");

const controlInstanceSchema = z.strictObject({
    name: nameSchema,
    address: addressSchema,
    peerPort: portSchema,
    operatorPort: portSchema,
    availabilityZone: nameSchema,
});
/** A control instance as listed in the settings of all instances. */
export type ControlInstanceSettings = z.infer<typeof controlInstanceSchema>;

const runOnceGroupSchema = z.strictObject({
    name: nameSchema,
    voters: z.array(nameSchema).min(1).max(7),
    preferredLeader: nameSchema.optional(),
});
/** A consensus group for run-once requests. */
export type RunOnceGroupSettings = z.infer<typeof runOnceGroupSchema>;

const settingsSchema = z.strictObject({
    /** Peers with another cluster id are not accepted. */
    clusterId: nameSchema,
    instance: z.strictObject({ name: nameSchema, address: addressSchema, availabilityZone: nameSchema }),
    /** Present for an entry instance. */
    entry: z.strictObject({
        /** Port for requests and lookups of callers. */
        callerPort: portSchema,
        /** Port for the status and the metrics of this instance. */
        adminPort: portSchema,
        /** Port from which other entries pull announcements and configuration. */
        peerPort: portSchema,
        /** Ports that callers and other entries connect to when a port forwarder is in front of this instance. */
        advertisedCallerPort: portSchema.optional(),
        advertisedPeerPort: portSchema.optional(),
    }).optional(),
    /** Present for a control instance. `dataFolder` is the path of the folder for the replicated logs. */
    control: z.strictObject({ peerPort: portSchema, operatorPort: portSchema, dataFolder: z.string().min(1) })
        .optional(),
    /** All control instances of the cluster. The list is the same in the settings of all instances. */
    controlInstances: z.array(controlInstanceSchema).min(1).max(7),
    runOnceGroups: z.array(runOnceGroupSchema).max(1_024).default([]),
    statsd: z.strictObject({ address: addressSchema, port: portSchema }).optional(),
    operators: z.strictObject({ tokenFile: z.string().min(1).optional() }).default({}),
    tls: z.strictObject({
        certificateFile: z.string().min(1),
        keyFile: z.string().min(1),
        certificateAuthorityFile: z.string().min(1),
    }).optional(),
});
/** Validated settings of one process. */
export type Settings = z.infer<typeof settingsSchema>;

/**
 * Reads and validates a settings file.
 *
 * @param file Path of a TOML file.
 * @returns The validated settings.
 * @throws SettingsError when the file cannot be read, is not TOML or has invalid values; it lists all problems.
 */
export function readSettings(file: string): Settings {
    let text: string;
    try {
        text = readFileSync(file, "utf8");
    }
    catch (error) {
        throw new SettingsError(file, "read", [{
            key: "",
            message: `Cannot read the file: ${(error as Error).message}.`,
        }]);
    }
    return parseSettings(text, file);
}

/**
 * Validates the text of a settings file.
 *
 * @param text TOML.
 * @param file Name of the file in error messages.
 * @returns The validated settings.
 * @throws SettingsError as described for {@link readSettings}.
 */
export function parseSettings(text: string, file: string): Settings {
    let table: unknown;
    try {
        table = parse(text);
    }
    catch (error) {
        const position = error instanceof TomlError ? `line ${error.line}, column ${error.column}: ` : "";
        const reason = (error as Error).message.split("\n")[0];
        throw new SettingsError(file, "parse", [{ key: "", message: `${position}${reason}` }]);
    }
    const result = settingsSchema.safeParse(table);
    if (!result.success) {
        throw new SettingsError(file, "check", result.error.issues.flatMap(toProblems));
    }
    const problems = findInconsistencies(result.data);
    if (problems.length > 0) {
        throw new SettingsError(file, "check", problems);
    }
    return result.data;
}

function toProblems(issue: z.core.$ZodIssue): SettingsProblem[] {
    const path = issue.path.map(String);
    if (issue.code === "unrecognized_keys") {
        return issue.keys.map(key => ({ key: [...path, key].join("."), message: "This key is not known." }));
    }
    return [{ key: path.join("."), message: issue.message }];
}

/** Finds problems that involve more than one key. */
function findInconsistencies(settings: Settings): SettingsProblem[] {
    const names = new Set(settings.controlInstances.map(instance => instance.name));
    const missingVoters = settings.runOnceGroups.flatMap((group, index) =>
        [...group.voters, ...group.preferredLeader === undefined ? [] : [group.preferredLeader]]
            .filter(voter => !names.has(voter))
            .map(voter => ({ key: `runOnceGroups.${index}.voters`, message: `"${voter}" is not in controlInstances.` }))
    );
    return [
        ...findDuplicates("controlInstances", "name", settings.controlInstances.map(instance => instance.name)),
        ...findDuplicates("runOnceGroups", "name", settings.runOnceGroups.map(group => group.name)),
        ...findDuplicateEndpoints(settings),
        ...missingVoters,
        ...findOwnInstanceProblems(settings),
    ];
}

function findDuplicates(table: string, key: string, values: readonly string[]): SettingsProblem[] {
    return values
        .map((value, index) => ({ value, index }))
        .filter(({ value, index }) => values.indexOf(value) !== index)
        .map(({ value, index }) => ({ key: `${table}.${index}.${key}`, message: `"${value}" is used twice.` }));
}

function findDuplicateEndpoints(settings: Settings): SettingsProblem[] {
    const ownAddress = settings.instance.address;
    const endpoints = [
        ...settings.controlInstances.flatMap((instance, index) => [
            { key: `controlInstances.${index}.peerPort`, endpoint: `${instance.address}:${instance.peerPort}` },
            { key: `controlInstances.${index}.operatorPort`, endpoint: `${instance.address}:${instance.operatorPort}` },
        ]),
        ...Object.entries(settings.entry ?? {})
            .filter(([key]) => !key.startsWith("advertised"))
            .map(([key, port]) => ({ key: `entry.${key}`, endpoint: `${ownAddress}:${port}` })),
    ];
    const first = new Map<string, string>();
    return endpoints.flatMap(({ key, endpoint }) => {
        const earlier = first.get(endpoint);
        first.set(endpoint, earlier ?? key);
        return earlier === undefined ? [] : [{ key, message: `${endpoint} is already used by ${earlier}.` }];
    });
}

function findOwnInstanceProblems(settings: Settings): SettingsProblem[] {
    const control = settings.control;
    if (control === undefined) {
        return [];
    }
    const index = settings.controlInstances.findIndex(instance => instance.name === settings.instance.name);
    const listed = settings.controlInstances[index];
    if (listed === undefined) {
        return [{ key: "instance.name", message: `"${settings.instance.name}" is not in controlInstances.` }];
    }
    const comparisons = [
        ["address", listed.address, settings.instance.address],
        ["availabilityZone", listed.availabilityZone, settings.instance.availabilityZone],
        ["peerPort", listed.peerPort, control.peerPort],
        ["operatorPort", listed.operatorPort, control.operatorPort],
    ] as const;
    return comparisons
        .filter(([, listedValue, ownValue]) => listedValue !== ownValue)
        .map(([key, listedValue, ownValue]) => ({
            key: `controlInstances.${index}.${key}`,
            message: `"${listedValue}" differs from this instance's own "${ownValue}".`,
        }));
}
