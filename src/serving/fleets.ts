/** Instances that offer services, as they register themselves, and the replica groups that they report to be in. */
import { groupBy } from "./collections.js";

/** Lifecycle state of an instance's membership in a group. */
export type MembershipState = "joining" | "ready" | "open" | "closing" | "broken";

/** The group that an instance reports to be in. */
export interface GroupMembership {
    readonly group: string;
    readonly epoch: number;
    /** Position in the list of members; 0 is the leader. */
    readonly rank: number;
    readonly state: MembershipState;
}

/** Status that an engine gives in its registration and in its reports. */
export interface EngineStatus {
    readonly membership: GroupMembership | undefined;
    /** Model of the current or last group of the instance. */
    readonly model: string | undefined;
    /** Models whose weights are on the host. */
    readonly staged: readonly string[];
    /** Start time of the present incarnation; only compared for equality. */
    readonly incarnation: number | undefined;
    /** Factor by which the instance is slower than usual; undefined in registrations. */
    readonly pace?: number;
}

/** One registered instance of a service. */
export interface FleetInstance {
    readonly id: string;
    readonly service: string;
    /** Host and port. */
    readonly address: string;
    readonly failureDomain: string;
    /** Fabric domain of an engine; groups do not cross it. */
    readonly fabricDomain: string;
    readonly slots: number;
    readonly isLeaving: boolean;
    /** Heartbeat counter of the registration. */
    readonly heartbeat: number;
    readonly status: EngineStatus;
    /** Time for which the instance stays cold, as its registration states, in milliseconds; undefined counts as 0. */
    readonly coldMilliseconds?: number;
}

/** All registered instances at one revision of the store. */
export interface Fleet {
    readonly revision: number;
    readonly instances: ReadonlyMap<string, FleetInstance>;
    /** Instances whose registration ended recently; some of them still serve. */
    readonly expired: readonly FleetInstance[];
}

export const emptyFleet: Fleet = { revision: 0, instances: new Map(), expired: [] };

/** A replica group as its members describe it. */
export interface ObservedGroup {
    /** Name and epoch, unique for each formation. */
    readonly key: string;
    readonly name: string;
    readonly epoch: number;
    readonly service: string;
    readonly model: string | undefined;
    readonly fabricDomain: string;
    /** Undefined if the leader is not registered. */
    readonly leader: FleetInstance | undefined;
    readonly members: readonly FleetInstance[];
}

/** Returns the key of one formation of a group. */
export function groupKey({ group, epoch }: Pick<GroupMembership, "group" | "epoch">): string {
    return `${group}@${epoch}`;
}

/** Collects the groups that the given instances report to be in. */
export function observeGroups(instances: Iterable<FleetInstance>): readonly ObservedGroup[] {
    const members = [...instances].filter(instance => instance.status.membership !== undefined);
    const membersByKey = groupBy(members, ({ status }) => groupKey(status.membership!));
    return [...membersByKey].map(([key, sameGroup]) => describeGroup(key, sameGroup));
}

function describeGroup(key: string, unsorted: readonly FleetInstance[]): ObservedGroup {
    const rankOf = (instance: FleetInstance): number => instance.status.membership?.rank ?? 0;
    const members = [...unsorted].sort((left, right) => rankOf(left) - rankOf(right));
    const first = members[0]!;
    return {
        key,
        name: first.status.membership!.group,
        epoch: first.status.membership!.epoch,
        service: first.service,
        model: first.status.model,
        fabricDomain: first.fabricDomain,
        leader: rankOf(first) === 0 ? first : undefined,
        members,
    };
}
