/**
 * Recent usage of one model by teams and subscribers. A caller that exceeds its fair share borrows: it yields to
 * callers within theirs.
 */
import type { Caller } from "./requests.js";
import type { SubscriberId, TeamId } from "./teams.js";

/** Time constant of the exponential decay of usage, in milliseconds. */
export const usageMemoryMilliseconds = 10_000;
/** A caller borrows if its recent usage exceeds its fair share by this factor. */
export const borrowingFactor = 1.5;

interface RecentUse {
    tokens: number;
    at: number;
}

interface TeamUse extends RecentUse {
    share: number;
    /** In order of last activity, oldest first. */
    readonly subscribers: Map<SubscriberId, RecentUse>;
}

/** Recent usage of one model by all callers. */
export class RecentUsage {
    private readonly teams = new Map<TeamId, TeamUse>();

    private constructor() {}

    public static create(): RecentUsage {
        return new RecentUsage();
    }

    public applyTeam(team: TeamId, share: number): void {
        this.teamOf(team, 0).share = share;
    }

    public add(caller: Caller, tokens: number, now: number): void {
        this.addToTeam(caller.team, tokens, now);
        this.addToSubscriber(caller, tokens, now);
    }

    /** Adds usage of a subscriber but not of its team, which is counted separately. */
    public addToSubscriber(caller: Caller, tokens: number, now: number): void {
        const team = this.teamOf(caller.team, now);
        const known = team.subscribers.get(caller.subscriber) ?? { tokens: 0, at: now };
        team.subscribers.delete(caller.subscriber);
        team.subscribers.set(caller.subscriber, known);
        addDecayed(known, tokens, now);
        forgetInactive(team, now);
    }

    /** Adds usage of a team whose subscribers are unknown. */
    public addToTeam(teamId: TeamId, tokens: number, now: number): void {
        addDecayed(this.teamOf(teamId, now), tokens, now);
    }

    /** Returns true if the caller's recent usage clearly exceeds its fair share. */
    public isBorrowing(caller: Caller, now: number): boolean {
        const team = this.teams.get(caller.team);
        const subscriber = team?.subscribers.get(caller.subscriber);
        if (team === undefined || subscriber === undefined) {
            return false;
        }
        const fairShare = this.fairPartOf(team, now) / Math.max(1, team.subscribers.size);
        return decayed(subscriber, now) > borrowingFactor * fairShare;
    }

    /** Returns the tokens due to the team: the total usage divided by share among the active teams. */
    private fairPartOf(team: TeamUse, now: number): number {
        let total = 0;
        let shares = 0;
        for (const other of this.teams.values()) {
            if (other === team || other.subscribers.size > 0) {
                total += decayed(other, now);
                shares += other.share;
            }
        }
        return (total * team.share) / shares;
    }

    private teamOf(id: TeamId, now: number): TeamUse {
        let team = this.teams.get(id);
        if (team === undefined) {
            team = { share: 1, tokens: 0, at: now, subscribers: new Map<SubscriberId, RecentUse>() };
            this.teams.set(id, team);
        }
        return team;
    }
}

function decayed(use: RecentUse, now: number): number {
    return use.tokens * Math.exp((use.at - now) / usageMemoryMilliseconds);
}

function addDecayed(use: RecentUse, tokens: number, now: number): void {
    use.tokens = Math.max(0, decayed(use, now) + tokens);
    use.at = now;
}

function forgetInactive(team: TeamUse, now: number): void {
    for (const [id, use] of team.subscribers) {
        if (use.at > now - usageMemoryMilliseconds) {
            return;
        }
        team.subscribers.delete(id);
    }
}
