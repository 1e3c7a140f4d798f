/**
 * Keeps an entry's view of the configuration up to date from the most preferred upstream that responds.
 */
import {
    type Clock,
    type Counters,
    createPublication,
    followPublication,
    type Publication,
    type PublicationReadRequest,
} from "@hyssopfront/coordination";
import { buildView } from "../control/view-builder.js";
import type { ConfigurationSource, ConfigurationView } from "./configuration-view.js";

/** The configuration of an entry and the publication that it is built from. */
export type FollowedConfiguration = Omit<ConfigurationSource, "holdsViewLease"> & {
    /** Items read from the upstream; a relay serves this publication to other entries. */
    readonly publication: Publication;
    /** Upstream that is being read, if any. */
    upstream(): string | undefined;
    stop(): Promise<void>;
};

/** Dependencies of {@link followConfiguration}. */
export type FollowConfigurationOptions = {
    readonly clock: Clock;
    readonly counters: Counters;
    /** Lists the names of the upstreams for the given view, in order of preference. */
    readonly upstreams: (view: ConfigurationView) => readonly string[];
    /** Sends one read request to an upstream. */
    readonly read: (upstream: string, request: PublicationReadRequest, signal: AbortSignal) => Promise<unknown>;
    /** Latest revision that the leader has reported to this entry. */
    readonly latestKnownRevision: () => number;
};

/** Starts to follow the configuration. The view is empty until the first response. */
export function followConfiguration(options: FollowConfigurationOptions): FollowedConfiguration {
    const { clock, counters } = options;
    const publication = createPublication({ clock, counters });
    const listeners = new Set<(view: ConfigurationView) => void>();
    let view = buildView(0, []);

    const subscription = publication.changes.subscribe({
        next: () => {
            view = buildView(publication.revision, publication.items());
            counters.gauge("configuration.revision", view.revision);
            listeners.forEach(listener => listener(view));
        },
        error: () => undefined,
        complete: () => undefined,
    });
    const follower = followPublication({
        clock,
        counters,
        publication,
        upstreams: () => options.upstreams(view),
        read: options.read,
        latestKnownRevision: options.latestKnownRevision,
    });
    return {
        publication,
        view: () => view,
        onChange: listener => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        upstream: () => follower.upstream,
        stop: async () => {
            await follower.stop();
            subscription.unsubscribe();
        },
    };
}
