/**
 * Settings of one control instance, with the structure of the settings file.
 */
import type { PeerTlsFiles } from "@hyssopfront/coordination";

/** Name and addresses of a control instance. */
export type ControlInstanceSettings = {
    readonly name: string;
    readonly address: string;
    readonly peerPort: number;
    readonly operatorPort: number;
    readonly availabilityZone: string;
};

/** Consensus group that records the outcomes of run-once requests. */
export type RunOnceGroupSettings = {
    readonly name: string;
    /** Names of the control instances that vote in the group. */
    readonly voters: readonly string[];
    /** Name of the voter that leads the group whenever it can. */
    readonly preferredLeader?: string;
};

/** Settings of a control instance. */
export type ControlSettings = {
    readonly clusterId: string;
    readonly instance: { readonly name: string; readonly address: string; readonly availabilityZone: string };
    readonly control: { readonly peerPort: number; readonly operatorPort: number; readonly dataFolder: string };
    /** All control instances, including this one; the same in each settings file. */
    readonly controlInstances: readonly ControlInstanceSettings[];
    readonly runOnceGroups?: readonly RunOnceGroupSettings[];
    readonly operators?: { readonly tokenFile: string };
    readonly tls?: PeerTlsFiles;
};
