/**
 * Recent use of one model by teams and subscribers. A caller that uses more than its fair part borrows: it gives way
 * to callers that use less.
 */
import type { Caller } from "./requests.js";
import type { SubscriberId, TeamId } from "./teams.js";

/** Time in milliseconds after which use counts for 1/e of what it did. */
export const usageMemoryMilliseconds = 10_000;
/** A caller borrows when its recent use is above this multiple of its fair part. */
export const borrowingFactor = 1.5;

interface RecentUse {
    tokens: number;
    at: number;
}

interface TeamUse extends RecentUse {
    share: number;
    /** Least recently active first. */
    readonly subscribers: Map<SubscriberId, RecentUse>;
}

/** Recent use by all callers of one model. */
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

    /** Adds use of a subscriber alone; its team's use is known apart. */
    public addToSubscriber(caller: Caller, tokens: number, now: number): void {
        const team = this.teamOf(caller.team, now);
        const known = team.subscribers.get(caller.subscriber) ?? { tokens: 0, at: now };
        team.subscribers.delete(caller.subscriber);
        team.subscribers.set(caller.subscriber, known);
        addDecayed(known, tokens, now);
        forgetInactive(team, now);
    }

    /** Adds use of a team whose subscribers are not known. */
    public addToTeam(teamId: TeamId, tokens: number, now: number): void {
        addDecayed(this.teamOf(teamId, now), tokens, now);
    }

    /** Returns true if the caller has lately used clearly more than its fair part. */
    public isBorrowing(caller: Caller, now: number): boolean {
        const team = this.teams.get(caller.team);
        const subscriber = team?.subscribers.get(caller.subscriber);
        if (team === undefined || subscriber === undefined) {
            return false;
        }
        const fairPart = this.fairPartOf(team, now) / Math.max(1, team.subscribers.size);
        return decayed(subscriber, now) > borrowingFactor * fairPart;
    }

    /** What the team may use of the total: its share among the teams that are active. */
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
