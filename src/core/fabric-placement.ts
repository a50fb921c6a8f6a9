/**
 * The value of the key `placement/<fabric domain>`: every replica group, spare and quarantined instance of one fabric
 * domain. They share one key, so that a compare-and-swap prevents an instance from being in two groups.
 */
import * as z from "zod";
import type { Fault, Result } from "./errors.js";
import { fail, succeed, unwrap } from "./errors.js";
import type { FabricDomainId } from "./failure-domains.js";
import type { InstanceId } from "./instances.js";
import type { ReplicaGroup } from "./replica-groups.js";

/** Prefix of the keys that hold placements. */
export const placementPrefix = "placement/";

/** Prefix of the keys that hold the leases of placers. */
export const placementLeasePrefix = "placement-lease/";

/** Returns the key of a fabric domain's placement. */
export function placementKey(fabricDomain: FabricDomainId): string {
    return `${placementPrefix}${fabricDomain}`;
}

/** Returns the key of the lease whose holder may act for a fabric domain. */
export function placementLeaseKey(fabricDomain: FabricDomainId): string {
    return `${placementLeasePrefix}${fabricDomain}`;
}

/** A replica group as stored in the placement of its fabric domain. */
export interface PlacedGroup extends ReplicaGroup {
    /**
     * The epoch at which the members were last ordered to load; a member that loaded at another epoch must load again.
     */
    readonly loadEpoch: number;
}

/** Groups, spares and quarantined instances of one fabric domain. An instance occurs once at most in these lists. */
export interface FabricPlacement {
    readonly fabricDomain: FabricDomainId;
    /** Unique to each write, so that an ambiguous write can be resolved by reading the value. */
    readonly nonce: string;
    /** The highest epoch assigned in this fabric domain; all its groups share this counter. */
    readonly epoch: number;
    /** Number of the next group to be created. */
    readonly nextGroup: number;
    readonly groups: readonly PlacedGroup[];
    /** Instances that reported idle and belong to no group. */
    readonly spares: readonly InstanceId[];
    /** Instances removed from a group without acknowledging it; unusable until they report idle. */
    readonly quarantined: readonly InstanceId[];
}

const wholeNumber = z.number().int().nonnegative();
const modelSchema = z.strictObject({ model: z.string().min(1), version: z.string().min(1) });
const groupSchema = z.strictObject({
    id: z.string().min(1),
    model: modelSchema,
    fabricDomain: z.string().min(1),
    members: z.array(z.string().min(1)).min(1),
    epoch: wholeNumber,
    loadEpoch: wholeNumber,
    state: z.enum(["forming", "loading", "serving", "draining", "dissolved"]),
});

/** Schema of the value; rejects a value with a duplicate instance or with a group epoch above the counter. */
export const fabricPlacementSchema = z
    .strictObject({
        fabricDomain: z.string().min(1),
        nonce: z.string(),
        epoch: wholeNumber,
        nextGroup: wholeNumber,
        groups: z.array(groupSchema),
        spares: z.array(z.string().min(1)),
        quarantined: z.array(z.string().min(1)),
    })
    .superRefine((placement, context) => {
        const duplicate = findDuplicateInstance(placement);
        if (duplicate !== undefined) {
            context.addIssue({ code: "custom", message: `instance "${duplicate}" occurs more than once` });
        }
        const invalid = placement.groups.find(group => group.epoch > placement.epoch);
        if (invalid !== undefined) {
            context.addIssue({
                code: "custom",
                message: `epoch of group "${invalid.id}" exceeds the epoch counter`,
            });
        }
    });

/** Returns an instance that occurs more than once in the value, or undefined if there is none. */
export function findDuplicateInstance(
    placement: Pick<FabricPlacement, "groups" | "spares" | "quarantined">,
): InstanceId | undefined {
    const seen = new Set<InstanceId>();
    for (const instance of instancesOf(placement)) {
        if (seen.has(instance)) {
            return instance;
        }
        seen.add(instance);
    }
    return undefined;
}

/** Returns every instance that the value names. */
export function instancesOf(
    placement: Pick<FabricPlacement, "groups" | "spares" | "quarantined">,
): readonly InstanceId[] {
    const members = placement.groups.flatMap(group => group.members);
    return [...members, ...placement.spares, ...placement.quarantined];
}

/** Returns the initial placement of a fabric domain without a stored value. */
export function createFabricPlacement(fabricDomain: FabricDomainId): FabricPlacement {
    return { fabricDomain, nonce: "", epoch: 0, nextGroup: 1, groups: [], spares: [], quarantined: [] };
}

/** Formats a placement as the text that is stored. */
export function formatFabricPlacement(placement: FabricPlacement): string {
    return JSON.stringify(placement);
}

/** Parses a stored value; a fault gives the path of the first issue. */
export function safeParseFabricPlacement(text: string): Result<FabricPlacement> {
    let document: unknown;
    try {
        document = JSON.parse(text);
    } catch {
        return fail(invalidPlacement("the placement is not valid JSON", []));
    }
    const parsed = fabricPlacementSchema.safeParse(document);
    if (parsed.success) {
        return succeed(parsed.data);
    }
    const issue = parsed.error.issues[0];
    const path = (issue?.path ?? []).map(part => (typeof part === "number" ? part : String(part)));
    return fail(invalidPlacement(issue?.message ?? "the placement is invalid", path));
}

/** Parses a stored value; throws a ChervilError if it is invalid. */
export function parseFabricPlacement(text: string): FabricPlacement {
    return unwrap(safeParseFabricPlacement(text));
}

function invalidPlacement(message: string, path: readonly (string | number)[]): Fault {
    return { code: "invalidConfiguration", message, step: "place", path, notRun: true };
}
