/** Phase of a drain on one entry. */
export enum DrainPhase {
    /** Not started. It starts once the capacity outside the target is sufficient. */
    Rejected = "refused",
    /** An increasing share of the load moves away from the target. */
    Running = "running",
    /** Started, but the share stays the same while the capacity outside the target is insufficient. */
    Paused = "paused",
    /** No new requests go to the target. The drain stays complete as long as it is declared. */
    Complete = "complete",
}
