/** Counts waiting requests by team and subscriber, and checks them against the limits. */
import type { Caller } from "./requests.js";
import type { TeamId, TeamLimits } from "./teams.js";

interface TeamCount {
    queued: number;
    readonly bySubscriber: Map<string, number>;
}

/** Counts of the waiting requests of one entry process. */
export class QueueCounts {
    private readonly teams = new Map<TeamId, TeamCount>();

    private constructor() {}

    public static create(): QueueCounts {
        return new QueueCounts();
    }

    public queuedCountOf(team: TeamId): number {
        return this.teams.get(team)?.queued ?? 0;
    }

    /** Returns true if one more request would exceed the limit of the caller's team or subscriber. */
    public isFull({ team, subscriber }: Caller, limits: TeamLimits): boolean {
        const count = this.teams.get(team);
        if (count === undefined) {
            return false;
        }
        const ownQueued = count.bySubscriber.get(subscriber) ?? 0;
        return count.queued >= limits.queuedPerTeam || ownQueued >= limits.queuedPerSubscriber;
    }

    public change({ team, subscriber }: Caller, change: 1 | -1): void {
        const count = this.teams.get(team) ?? { queued: 0, bySubscriber: new Map<string, number>() };
        this.teams.set(team, count);
        count.queued += change;
        const ownQueued = (count.bySubscriber.get(subscriber) ?? 0) + change;
        if (ownQueued === 0) {
            count.bySubscriber.delete(subscriber);
        } else {
            count.bySubscriber.set(subscriber, ownQueued);
        }
    }
}
