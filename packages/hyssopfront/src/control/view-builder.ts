/**
 * Builds configuration views from change records.
 */
import { type ConfigurationView, EMPTY_CONFIGURATION_VIEW } from "../configuration/configuration-view.js";
import { type ChangeRecord, ENTRIES_COLLECTION } from "../resources/resource-state.js";
import { COLLECTION_NAMES, type Resource, ResourceKind } from "../resources/resource.js";

type ViewMaps = Omit<ConfigurationView, "revision">;

const VIEW_FIELDS_BY_COLLECTION: ReadonlyMap<string, keyof ViewMaps> = new Map([
    [COLLECTION_NAMES[ResourceKind.Region], "regions"],
    [COLLECTION_NAMES[ResourceKind.AvailabilityZone], "availabilityZones"],
    [COLLECTION_NAMES[ResourceKind.Service], "services"],
    [COLLECTION_NAMES[ResourceKind.Shift], "shifts"],
    [COLLECTION_NAMES[ResourceKind.Drain], "drains"],
    [ENTRIES_COLLECTION, "entries"],
]);

/**
 * Applies changes to a view.
 *
 * @returns A new view that shares the unchanged maps. The given view is not modified.
 */
export function applyChanges(
    view: ConfigurationView,
    revision: number,
    changes: readonly ChangeRecord[],
): ConfigurationView {
    const copies = new Map<keyof ViewMaps, Map<string, unknown>>();
    changes.forEach(({ key, value }) => {
        const separator = key.indexOf("/");
        const field = VIEW_FIELDS_BY_COLLECTION.get(key.slice(0, separator));
        if (field === undefined) {
            return;
        }
        const name = key.slice(separator + 1);
        const copy = copies.get(field) ?? new Map<string, unknown>(view[field]);
        copies.set(field, copy);
        if (value === undefined) {
            copy.delete(name);
            return;
        }
        copy.set(name, field === "entries" ? value : (value as Resource).spec);
    });
    return { ...view, ...Object.fromEntries(copies), revision };
}

/** Builds a view from all items of a publication. */
export function buildView(revision: number, items: readonly ChangeRecord[]): ConfigurationView {
    return applyChanges(EMPTY_CONFIGURATION_VIEW, revision, items);
}
