/** Index of the fleet for dispatch: instances by service, and complete groups by service and model. */
import { countBy, groupBy } from "./collections.js";
import type { GroupAnnouncement } from "./group-announcements.js";
import { applyAnnouncements } from "./group-announcements.js";
import type { RouteTable } from "./serving-configuration.js";
import type { EngineModel, EngineProfile } from "./engine-model.js";
import type { Fleet, FleetInstance, ObservedGroup } from "./fleets.js";
import { observeGroups } from "./fleets.js";
import { findServableModel } from "./group-route.js";

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
    ) {}

    /** Indexes a fleet; `announced` are groups that the registrations may not show yet. */
    public static create(
        fleet: Fleet,
        table: RouteTable | undefined,
        announced: readonly GroupAnnouncement[] = [],
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
            groupBy(groups, ({ group, model }) => modelKey(group.service, model.name)),
            groupBy(
                instances.filter(instance => !instance.isLeaving),
                instance => instance.service,
            ),
        );
    }

    public groupsOf(service: string, model: string): readonly ServableGroup[] {
        return this.groupsByModel.get(modelKey(service, model)) ?? [];
    }

    /** Returns the number of groups that take requests, by model. */
    public countByModel(): ReadonlyMap<string, number> {
        return countBy(this.groups.values(), ({ model }) => model.name);
    }

    /** Returns the instances of a service without groups that are not leaving. */
    public instancesOf(service: string): readonly FleetInstance[] {
        return this.instancesByService.get(service) ?? [];
    }
}

function modelKey(service: string, model: string): string {
    return `${service} ${model}`;
}
