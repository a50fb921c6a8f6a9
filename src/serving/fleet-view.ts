/** Index of the fleet for dispatch: instances by service, and complete groups by service and model. */
import { countBy, groupBy } from "./collections.js";
import type { GroupAnnouncement } from "./group-announcements.js";
import { applyAnnouncements } from "./group-announcements.js";
import type { RouteTable } from "./serving-configuration.js";
import type { EngineModel, EngineProfile } from "./engine-model.js";
import type { Fleet, FleetInstance, ObservedGroup } from "./fleets.js";
import { observeGroups } from "./fleets.js";
import { findServableModel } from "./group-route.js";

const noFailureDomains: ReadonlySet<string> = new Set();

/** A group whose members are all present, with its model. */
export interface ServableGroup {
    readonly group: ObservedGroup;
    readonly model: EngineModel;
    readonly profile: EngineProfile;
}

export class FleetView {
    private constructor(
        public readonly fleet: Fleet,
        public readonly groups: ReadonlyMap<string, ServableGroup>,
        private readonly groupsByModel: ReadonlyMap<string, readonly ServableGroup[]>,
        private readonly instancesByService: ReadonlyMap<string, readonly FleetInstance[]>,
        private readonly evacuated: ReadonlySet<string>,
    ) {}

    /**
     * Indexes a fleet; `announced` are groups that the registrations may not show yet, `evacuated` the failure domains whose
     * replicas take no requests. Their groups stay known for the requests that run there.
     */
    public static create(
        fleet: Fleet,
        table: RouteTable | undefined,
        announced: readonly GroupAnnouncement[] = [],
        evacuated: ReadonlySet<string> = noFailureDomains,
    ): FleetView {
        const instances = [...fleet.instances.values()];
        // A member that only lost its registration still serves, but a leader must be registered to get requests.
        const members = applyAnnouncements(fleet, announced).filter(
            ({ id, status }) => fleet.instances.has(id) || status.membership?.rank !== 0,
        );
        const groups = observeGroups(members).flatMap(group => {
            const profile = table?.findService(group.service)?.engine;
            const model = profile && findServableModel(group, profile);
            return profile && model ? [{ group, model, profile }] : [];
        });
        return new FleetView(
            fleet,
            new Map(groups.map(servable => [servable.group.key, servable])),
            groupBy(
                groups.filter(({ group }) => !isGroupIn(group, evacuated)),
                ({ group, model }) => modelKey(group.service, model.name),
            ),
            groupBy(
                instances.filter(instance => !instance.isLeaving && !evacuated.has(instance.failureDomain)),
                instance => instance.service,
            ),
            evacuated,
        );
    }

    public groupsOf(service: string, model: string): readonly ServableGroup[] {
        return this.groupsByModel.get(modelKey(service, model)) ?? [];
    }

    /** Returns the number of groups that take requests, by model. */
    public countByModel(): ReadonlyMap<string, number> {
        const taking = [...this.groups.values()].filter(({ group }) => !this.isGroupEvacuated(group));
        return countBy(taking, ({ model }) => model.name);
    }

    /** True if nothing more may be sent to an instance because its failure domain is evacuated. */
    public isEvacuated({ failureDomain }: Pick<FleetInstance, "failureDomain">): boolean {
        return this.evacuated.has(failureDomain);
    }

    /** True if any member of a group is in an evacuated failure domain. */
    public isGroupEvacuated(group: ObservedGroup): boolean {
        return isGroupIn(group, this.evacuated);
    }

    /** Returns the instances of a service without groups that are not leaving. */
    public instancesOf(service: string): readonly FleetInstance[] {
        return this.instancesByService.get(service) ?? [];
    }
}

function isGroupIn({ members }: ObservedGroup, failureDomains: ReadonlySet<string>): boolean {
    return members.some(({ failureDomain }) => failureDomains.has(failureDomain));
}

function modelKey(service: string, model: string): string {
    return `${service} ${model}`;
}
