/** Replica groups as the reports of their members describe them. */
import { countBy, groupBy } from "../collections.js";
import type { EngineModel } from "../engine-model.js";
import { groupKey } from "../fleets.js";
import type { Candidate } from "./group-choices.js";
import type { KnownInstance } from "../instance-registry.js";

/** A replica group as the reports of its members describe it. */
export interface ReportedGroup {
    readonly key: string;
    readonly name: string;
    readonly epoch: number;
    readonly model: EngineModel | undefined;
    readonly leader: KnownInstance | undefined;
    readonly members: readonly KnownInstance[];
}

/** Collects the groups that the instances of a fabric domain report to be in. */
export function collectReportedGroups(
    instances: readonly KnownInstance[],
    models: readonly EngineModel[],
): readonly ReportedGroup[] {
    const inGroups = instances.filter(({ status, isEnded }) => status?.membership !== undefined && !isEnded);
    const byKey = groupBy(inGroups, ({ status }) => groupKey(status!.membership!));
    return [...byKey].map(([key, members]) => {
        const { status } = members[0]!;
        return {
            key,
            name: status!.membership!.group,
            epoch: status!.membership!.epoch,
            model: models.find(model => model.name === status!.model),
            leader: members.find(member => member.status?.membership?.rank === 0),
            members,
        };
    });
}

export function rankOf(known: KnownInstance): number {
    return known.status?.membership?.rank ?? 0;
}

export function toCandidate(known: KnownInstance): Candidate {
    return {
        id: known.instance.id,
        lastModel: known.status?.model,
        staged: known.status?.staged ?? [],
        isBusy: false,
    };
}

/**
 * Counts the members of ended groups that are still bound to their leader, by the model that `modelOf` returns, or else that of
 * the group.
 */
export function countFreeSoon(
    ended: readonly ReportedGroup[],
    isBound: (member: KnownInstance) => boolean,
    modelOf: (member: KnownInstance) => string | undefined,
): ReadonlyMap<string, number> {
    const bound = ended.flatMap(group =>
        group.members.filter(isBound).map(member => modelOf(member) ?? group.model?.name ?? ""),
    );
    return countBy(bound, model => model);
}
