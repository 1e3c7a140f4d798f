/**
 * State machine of the main group, the consensus group that all control instances vote in: the resources, their
 * publication to entries and the configuration view.
 */
import { type Clock, type Counters, createPublication, type Publication } from "@hyssopfront/coordination";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { type CommandResponse, decodeCommand } from "../resources/messages.js";
import { type ChangeRecord, createResourceState, type ResourceState } from "../resources/resource-state.js";
import { applyChanges, buildView } from "./view-builder.js";

/** Replicated state of the main group. */
export type MainGroup = {
    readonly state: ResourceState;
    readonly publication: Publication;
    view(): ConfigurationView;
    /**
     * Applies the payload of one committed log entry.
     *
     * @throws CommandFormatError for a payload of a later version, which stops the replica.
     */
    apply(index: number, payload: Uint8Array): CommandResponse;
    takeSnapshot(): Uint8Array;
    restoreSnapshot(payload: Uint8Array): void;
};

/**
 * Creates the state machine in its initial state.
 *
 * @param options.onViewChange Called after each change of the view. `isRestored` is true when it came from a snapshot.
 */
export function createMainGroup(options: {
    readonly clock: Clock;
    readonly counters: Counters;
    readonly onViewChange: (view: ConfigurationView, isRestored: boolean) => void;
}): MainGroup {
    const state = createResourceState();
    const publication = createPublication({ clock: options.clock, counters: options.counters });
    let view = buildView(0, []);

    const setView = (newView: ConfigurationView, isRestored: boolean) => {
        view = newView;
        options.onViewChange(view, isRestored);
    };

    const publish = (revision: number, changes: readonly ChangeRecord[]) => {
        if (changes.length > 0) {
            publication.publish(revision, changes);
            setView(applyChanges(view, revision, changes), false);
        }
    };

    return {
        state,
        publication,
        view: () => view,
        apply: (index, payload) => {
            const { response, changes } = state.apply(index, decodeCommand(payload));
            publish(index, changes);
            return response;
        },
        takeSnapshot: state.takeSnapshot,
        restoreSnapshot: payload => {
            state.restoreSnapshot(payload);
            const { configurationRevision } = state;
            // The snapshot does not contain the individual changes that it covers, and a key that was put and deleted
            // by them would be missed. The publication is therefore replaced.
            if (configurationRevision > publication.revision) {
                publication.replace(configurationRevision, state.items());
                setView(buildView(configurationRevision, state.items()), true);
            }
        },
    };
}
