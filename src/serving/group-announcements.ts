/**
 * Groups that placers opened recently, as entry instances announce them to each other before the members' registrations
 * show them: registrations are read at intervals only, and the store may be unavailable while groups are formed again.
 */
import type { Fleet, FleetInstance } from "./fleets.js";
import { groupKey } from "./fleets.js";

/** Validity of an entry instance's announcements after its last message, in milliseconds: covers a short partition. */
const announcerTimeoutMilliseconds = 5_000;

/** Time for which a group is announced after its opening, in milliseconds: longer than a short outage of the store. */
const announcementLifetimeMilliseconds = 12_000;

/** A group whose members have all been ready, and whose leader is open. */
export interface GroupAnnouncement {
    readonly group: string;
    readonly epoch: number;
    readonly model: string;
    /** Ids of the members by rank; the first one is the leader. */
    readonly members: readonly string[];
}

interface ReceivedAnnouncements {
    readonly groups: readonly GroupAnnouncement[];
    /** Local monotonic milliseconds. */
    readonly until: number;
}

/** Current announcements, by the entry instance that announces them. */
export class GroupAnnouncements {
    private readonly byAnnouncer = new Map<string, ReceivedAnnouncements>();

    private constructor() {}

    public static create(): GroupAnnouncements {
        return new GroupAnnouncements();
    }

    public get all(): readonly GroupAnnouncement[] {
        return [...this.byAnnouncer.values()].flatMap(received => received.groups);
    }

    /** Replaces the announcements of an entry instance; returns true if they changed. */
    public apply(announcer: string, groups: readonly GroupAnnouncement[], now: number): boolean {
        const previous = this.byAnnouncer.get(announcer)?.groups ?? [];
        if (groups.length === 0) {
            this.byAnnouncer.delete(announcer);
        } else {
            this.byAnnouncer.set(announcer, { groups, until: now + announcerTimeoutMilliseconds });
        }
        return keysOf(previous) !== keysOf(groups);
    }

    /** Drops the announcements of silent entry instances; returns true if any were dropped. */
    public expire(now: number): boolean {
        const expired = [...this.byAnnouncer].filter(([, { until }]) => now >= until);
        expired.forEach(([announcer]) => this.byAnnouncer.delete(announcer));
        return expired.length > 0;
    }
}

/** Groups that a placer has opened recently. */
export class OpenedGroups {
    private readonly byKey = new Map<string, { readonly group: GroupAnnouncement; readonly until: number }>();

    private constructor() {}

    public static create(): OpenedGroups {
        return new OpenedGroups();
    }

    public add(group: GroupAnnouncement, now: number): void {
        this.byKey.set(groupKey(group), { group, until: now + announcementLifetimeMilliseconds });
    }

    /** Removes a group that has lost a member or takes no new requests. */
    public remove(key: string): void {
        this.byKey.delete(key);
    }

    public current(now: number): readonly GroupAnnouncement[] {
        for (const [key, { until }] of this.byKey) {
            if (now >= until) {
                this.byKey.delete(key);
            }
        }
        return [...this.byKey.values()].map(({ group }) => group);
    }
}

function keysOf(groups: readonly GroupAnnouncement[]): string {
    return groups.map(groupKey).join();
}

/** Returns the instances with their memberships updated by the announcements. */
export function applyAnnouncements(
    { instances, expired: expiredInstances }: Fleet,
    announcements: readonly GroupAnnouncement[],
): readonly FleetInstance[] {
    const byId = new Map(
        [...expiredInstances, ...instances.values()].map(instance => [instance.id, instance]),
    );
    for (const announcement of announcements) {
        const members = announcement.members.map(id => byId.get(id));
        if (members.every(member => member !== undefined && isNewer(announcement, member))) {
            members.forEach((member, rank) => byId.set(member!.id, asMember(member!, announcement, rank)));
        }
    }
    return [...byId.values()];
}

/** False if the instance's registration shows a later group. */
function isNewer({ epoch }: GroupAnnouncement, { status }: FleetInstance): boolean {
    return status.membership === undefined || status.membership.epoch <= epoch;
}

function asMember(instance: FleetInstance, announcement: GroupAnnouncement, rank: number): FleetInstance {
    const { group, epoch, model } = announcement;
    const { membership } = instance.status;
    const isRegistered = membership !== undefined && groupKey(membership) === groupKey(announcement);
    // A state registered after the member was ready, for example closing, is newer than the announcement.
    if (isRegistered && membership.state !== "joining" && (rank > 0 || membership.state !== "ready")) {
        return instance;
    }
    const state = rank === 0 ? "open" : "ready";
    const announced = { group, epoch, rank, state } as const;
    return { ...instance, status: { ...instance.status, membership: announced, model } };
}
