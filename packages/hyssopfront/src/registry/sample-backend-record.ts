/**
 * Record of a backend server for tests.
 */
import { type BackendRecord, BackendServerState } from "./backend-record.js";

export const SAMPLE_BACKEND_RECORD: BackendRecord = {
    id: "stoc-1",
    service: "stoc",
    address: "127.0.0.1",
    port: 80,
    availabilityZone: "z1",
    slots: 4,
    state: BackendServerState.Ready,
    coldMilliseconds: 0,
    startedAt: 1,
    sequence: 1,
    coldPortions: {},
};
