/** Records former groups, so that a restarted member joins no other group while its old leader relies on it. */
import type { EngineStatus } from "./fleets.js";
import { groupKey } from "./fleets.js";

/** A group that an instance was in. */
interface LastGroup {
    readonly key: string;
    readonly incarnation: number | undefined;
}

export class GroupMembershipHistory {
    private readonly leaderByKey = new Map<string, string>();
    private readonly membersByKey = new Map<string, Set<string>>();
    /** Number of members with which a group was last complete, by key. */
    private readonly completeSizeByKey = new Map<string, number>();
    /** Last group of each instance that has not left it. */
    private readonly lastGroupById = new Map<string, LastGroup>();

    private constructor() {}

    public static create(): GroupMembershipHistory {
        return new GroupMembershipHistory();
    }

    /** Returns the id of the instance that leads or led the group, or undefined if no leader was ever seen. */
    public leaderOf(key: string): string | undefined {
        return this.leaderByKey.get(key);
    }

    /** Returns the number of distinct instances ever seen in the group with this key. */
    public countMembers(key: string): number {
        return this.membersByKey.get(key)?.size ?? 0;
    }

    /** Records that a group has all members that its model required. */
    public recordComplete(key: string, members: number): void {
        this.completeSizeByKey.set(key, members);
    }

    /**
     * Returns the number of members with which a group was complete, whatever the configuration in force says of its model;
     * undefined if it never was.
     */
    public completeSizeOf(key: string): number | undefined {
        return this.completeSizeByKey.get(key);
    }

    /** Returns the key of the last group of an instance, or undefined if the instance has left it. */
    public lastGroupOf(id: string): string | undefined {
        return this.lastGroupById.get(id)?.key;
    }

    /** Records a registration. Registrations lag, so they can show that an instance joined a group, not that it left one. */
    public recordRegistration(id: string, status: EngineStatus): void {
        if (status.membership !== undefined && !this.lastGroupById.has(id)) {
            this.recordReport(id, status);
        }
    }

    /** Records the status in an instance's own report. */
    public recordReport(id: string, status: EngineStatus): void {
        const { membership, incarnation } = status;
        if (membership?.rank === 0) {
            this.leaderByKey.set(groupKey(membership), id);
        }
        const last = this.lastGroupById.get(id);
        if (membership !== undefined) {
            const key = groupKey(membership);
            this.membersByKey.set(key, (this.membersByKey.get(key) ?? new Set()).add(id));
            this.lastGroupById.set(id, { key, incarnation });
        } else if (last !== undefined && last.incarnation === incarnation) {
            // The instance itself left the group. Only after a restart does the leader go on serving without it.
            this.lastGroupById.delete(id);
        }
    }
}
