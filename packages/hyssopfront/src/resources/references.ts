/**
 * Referential integrity: resources that a spec refers to must exist, and resources that others refer to cannot be
 * deleted.
 */
import type { AvailabilityZoneSpec, DrainSpec, Location, RegionSpec, ServiceSpec, ShiftSpec } from "./resource.js";
import { COLLECTION_NAMES, type Resource, ResourceKind } from "./resource.js";

/** A field of a spec that names another resource. */
export type Reference = { readonly field: string; readonly kind: ResourceKind; readonly name: string };

/** A violation found by a check, with the path of the field. */
export type FieldError = { readonly field: string; readonly message: string };

const locationReference = (field: string, location: Location): Reference =>
    "region" in location
        ? { field: `${field}.region`, kind: ResourceKind.Region, name: location.region }
        : { field: `${field}.availabilityZone`, kind: ResourceKind.AvailabilityZone, name: location.availabilityZone };

const drainReference = ({ target }: DrainSpec): Reference =>
    "backendServer" in target
        ? {
            field: "spec.target.backendServer.service",
            kind: ResourceKind.Service,
            name: target.backendServer.service,
        }
        : locationReference("spec.target", target);

const REFERENCES: Readonly<Record<ResourceKind, (spec: never) => readonly Reference[]>> = {
    [ResourceKind.Region]: (spec: RegionSpec) =>
        spec.links.map((link, index) => ({
            field: `spec.links.${index}.to`,
            kind: ResourceKind.Region,
            name: link.to,
        })),
    [ResourceKind.AvailabilityZone]: (spec: AvailabilityZoneSpec) => [
        { field: "spec.region", kind: ResourceKind.Region, name: spec.region },
    ],
    [ResourceKind.Service]: (spec: ServiceSpec) =>
        spec.availabilityZones.map((name, index) => ({
            field: `spec.availabilityZones.${index}`,
            kind: ResourceKind.AvailabilityZone,
            name,
        })),
    [ResourceKind.Shift]: (spec: ShiftSpec) => [
        { field: "spec.service", kind: ResourceKind.Service, name: spec.service },
        locationReference("spec.from", spec.from),
        locationReference("spec.to", spec.to),
    ],
    [ResourceKind.Drain]: (spec: DrainSpec) => [drainReference(spec)],
};

/** Lists the fields of a spec that name other resources. */
export function listReferences(kind: ResourceKind, spec: Resource["spec"]): readonly Reference[] {
    return REFERENCES[kind](spec as never);
}

/**
 * Finds the first invalid reference of a spec: to a resource that is missing, or to one that the kind does not allow.
 *
 * @param exists Returns whether a resource is declared.
 * @returns The violation, or undefined when all references are valid.
 */
export function checkReferences(
    kind: ResourceKind,
    name: string,
    spec: Resource["spec"],
    exists: (kind: ResourceKind, name: string) => boolean,
): FieldError | undefined {
    const references = listReferences(kind, spec);
    const missing = references.find(reference => !exists(reference.kind, reference.name));
    if (missing !== undefined && !(missing.kind === kind && missing.name === name)) {
        return { field: missing.field, message: `The ${missing.kind} ${missing.name} does not exist.` };
    }
    if (kind === ResourceKind.Region) {
        return checkLinks(name, references);
    }
    if (kind === ResourceKind.Shift) {
        const shift = spec as ShiftSpec;
        return JSON.stringify(shift.from) === JSON.stringify(shift.to)
            ? { field: "spec.to", message: "A shift cannot end where it starts." }
            : undefined;
    }
    return undefined;
}

function checkLinks(name: string, links: readonly Reference[]): FieldError | undefined {
    const selfLink = links.find(link => link.name === name);
    if (selfLink !== undefined) {
        return { field: selfLink.field, message: `The Region ${name} cannot have a link to itself.` };
    }
    const duplicate = links.find((link, index) => links.findIndex(other => other.name === link.name) < index);
    return duplicate === undefined
        ? undefined
        : { field: duplicate.field, message: `A link to the Region ${duplicate.name} is declared twice.` };
}

/**
 * Finds a resource that refers to another one.
 *
 * @param resources All declared resources.
 * @returns The field of the first resource that refers to it, or undefined when none does.
 */
export function findReferrer(
    kind: ResourceKind,
    name: string,
    resources: Iterable<Resource>,
): FieldError | undefined {
    for (const resource of resources) {
        const reference = listReferences(resource.kind, resource.spec)
            .find(candidate => candidate.kind === kind && candidate.name === name);
        if (reference !== undefined && !(resource.kind === kind && resource.name === name)) {
            const path = `${COLLECTION_NAMES[resource.kind]}/${resource.name}`;
            return { field: `${path}.${reference.field}`, message: `${path} refers to the ${kind} ${name}.` };
        }
    }
    return undefined;
}
