/**
 * Configurations for the simulations of quotas.
 */
import type { AnnouncedBackendServer } from "hyssopfront/announcements/announcement.js";
import { type ConfigurationView, EMPTY_CONFIGURATION_VIEW } from "hyssopfront/configuration/configuration-view.js";

/** Creates a configuration with one shift, one link, one service and entries spread over two availability zones. */
export function sampleView(options: {
    revision: number;
    entries: readonly string[];
    requestsPerSecond: number;
    linkBytesPerSecond?: number;
    slotsPerBackendServer?: number;
}): ConfigurationView {
    const { revision, entries, requestsPerSecond, linkBytesPerSecond = 1e9, slotsPerBackendServer = 6 } = options;
    return {
        ...EMPTY_CONFIGURATION_VIEW,
        revision,
        regions: new Map([
            ["hame", { links: [{ to: "itasuomi", bitsPerSecond: linkBytesPerSecond * 8 }] }],
            ["itasuomi", { links: [] }],
        ]),
        availabilityZones: new Map([
            ["hame-1", { region: "hame", clientBlocks: [] }],
            ["itasuomi-1", { region: "itasuomi", clientBlocks: [] }],
        ]),
        services: new Map([["tilauspalvelu", {
            availabilityZones: ["hame-1"],
            slotsPerBackendServer,
            connectionsPerBackendServer: 390,
            classes: [],
            answerBytesEstimate: 8_192,
            timeToLiveSeconds: 5,
        }]]),
        shifts: new Map([["evening", {
            service: "tilauspalvelu",
            from: { region: "hame" },
            to: { region: "itasuomi" },
            percent: 100,
            cap: { requestsPerSecond, bytesPerSecond: 1e9 },
        }]]),
        entries: new Map(entries.map((name, index) => [name, {
            name,
            address: "127.0.0.1",
            callerPort: 1,
            peerPort: 2,
            availabilityZone: index % 3 === 2 ? "itasuomi-1" : "hame-1",
            isLeaving: false,
        }])),
    };
}

export const SAMPLE_BACKEND_SERVER: AnnouncedBackendServer = {
    service: "tilauspalvelu",
    name: "backend-1",
    address: "127.0.0.1",
    port: 3,
    availabilityZone: "hame-1",
    incarnation: "first",
    slots: 6,
    leaving: false,
    validUntil: Infinity,
    isDirect: true,
};
