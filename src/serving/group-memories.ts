/** Which groups instances were in, so that a restarted member is not taken while its old leader counts on it. */
import type { EngineStatus } from "./fleets.js";
import { groupKey } from "./fleets.js";

/** A group that an instance was in. */
interface LastGroup {
    readonly key: string;
    readonly incarnation: number | undefined;
}

export class GroupMemory {
    private readonly leaderByKey = new Map<string, string>();
    private readonly membersByKey = new Map<string, Set<string>>();
    /** The group that each instance was in last and has not left. */
    private readonly lastGroupById = new Map<string, LastGroup>();

    private constructor() {}

    public static create(): GroupMemory {
        return new GroupMemory();
    }

    /** Instance that leads or led the group with this key, if it was ever seen. */
    public leaderOf(key: string): string | undefined {
        return this.leaderByKey.get(key);
    }

    /** Number of different instances that were ever seen in the group with this key. */
    public countMembers(key: string): number {
        return this.membersByKey.get(key)?.size ?? 0;
    }

    /** Key of the group that an instance was in and has not left. */
    public groupBefore(id: string): string | undefined {
        return this.lastGroupById.get(id)?.key;
    }

    /** A registration lags: it tells of groups, not that an instance has left one. */
    public noteRegistration(id: string, status: EngineStatus): void {
        if (status.membership !== undefined && !this.lastGroupById.has(id)) {
            this.noteReport(id, status);
        }
    }

    /** Takes what an instance itself says. */
    public noteReport(id: string, status: EngineStatus): void {
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
            // It has left the group itself; only a restart leaves the group's leader serving without it.
            this.lastGroupById.delete(id);
        }
    }
}
