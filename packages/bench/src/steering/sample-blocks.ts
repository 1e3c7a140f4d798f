/**
 * Configurations with many client blocks, for tests and measurements of lookups.
 */
import { type ConfigurationView, EMPTY_CONFIGURATION_VIEW } from "hyssopfront/configuration/configuration-view.js";

const REGIONS = 10;

/** Creates a random CIDR block: two thirds IPv4, one third IPv6, some of them nested like the prefixes of providers. */
export function randomClientBlock(random: () => number): string {
    if (random() < 2 / 3) {
        const octet = () => Math.floor(random() * 256);
        const length = random() < 0.05 ? 8 + Math.floor(random() * 8) : 16 + Math.floor(random() * 13);
        return `${1 + Math.floor(random() * 222)}.${octet()}.${octet()}.${octet()}/${length}`;
    }
    const group = () => Math.floor(random() * 0x10000).toString(16);
    return `2${(0xa00 + Math.floor(random() * 16)).toString(16)}:${group()}:${group()}::/${
        24 + Math.floor(random() * 25)
    }`;
}

/** Creates the random client blocks of one availability zone. */
export function randomClientBlocks(count: number, random: () => number): string[] {
    const blocks = Array.from({ length: count }, () => randomClientBlock(random));
    // Strings from JSON, as in a configuration: concatenated strings take more memory until they are first read.
    return JSON.parse(JSON.stringify(blocks)) as string[];
}

/** Creates a configuration whose availability zones have equal numbers of client blocks and of entries. */
export function createViewWithClientBlocks(options: {
    revision: number;
    availabilityZones: number;
    blocksPerAvailabilityZone: number;
    entries: number;
    random: () => number;
}): ConfigurationView {
    const { revision, availabilityZones, blocksPerAvailabilityZone, entries, random } = options;
    const zones = Array.from({ length: availabilityZones }, (_, index) => `zone-${index + 1}`);
    return {
        ...EMPTY_CONFIGURATION_VIEW,
        revision,
        availabilityZones: new Map(zones.map((name, index) => [name, {
            region: `region-${index % REGIONS}`,
            clientBlocks: randomClientBlocks(blocksPerAvailabilityZone, random),
        }])),
        services: new Map([["stoc", {
            availabilityZones: zones.slice(0, 3),
            slotsPerBackendServer: 6,
            connectionsPerBackendServer: 330,
            classes: [],
            answerBytesEstimate: 8_192,
            timeToLiveSeconds: 5,
        }]]),
        entries: new Map(
            Array.from({ length: entries }, (_, index) => `entry-${index + 1}`).map((name, index) => [name, {
                name,
                address: "127.0.0.1",
                callerPort: 7_101,
                peerPort: 7_103,
                availabilityZone: zones[index % availabilityZones] as string,
                isLeaving: false,
            }]),
        ),
    };
}
