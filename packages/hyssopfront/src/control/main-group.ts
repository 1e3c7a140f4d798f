/**
 * State machine of the main group: the resource state, its publication and the configuration view.
 */
import { type Clock, type Counters, createPublication, type Publication } from "@hyssopfront/coordination";
import type { ConfigurationView } from "../configuration/configuration-view.js";
import { type CommandAnswer, decodeCommand } from "../resources/messages.js";
import { type ChangeRecord, createResourceState, type ResourceState } from "../resources/resource-state.js";
import { applyChanges, buildView } from "./view-builder.js";

export type MainGroup = {
    readonly state: ResourceState;
    readonly publication: Publication;
    view(): ConfigurationView;
    /** Applies one committed payload. Throws CommandFormatError for one of a later version, which stops the replica. */
    apply(index: number, payload: Uint8Array): CommandAnswer;
    takeSnapshot(): Uint8Array;
    restoreSnapshot(payload: Uint8Array): void;
};

/**
 * Creates the state machine of a new group.
 *
 * @param options.onView Called after each change of the view, and told whether it came from a snapshot.
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
            const { answer, changes } = state.apply(index, decodeCommand(payload));
            publish(index, changes);
            return answer;
        },
        takeSnapshot: state.takeSnapshot,
        restoreSnapshot: payload => {
            state.restoreSnapshot(payload);
            const { configurationRevision } = state;
            // Deltas across the snapshot are not known: a key that was put and deleted in between would be missed.
            if (configurationRevision > publication.revision) {
                publication.replace(configurationRevision, state.items());
                setView(buildView(configurationRevision, state.items()), true);
            }
        },
    };
}
