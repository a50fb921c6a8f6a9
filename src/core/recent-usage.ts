/**
 * Recent usage of one model by teams and subscribers. A caller that exceeds its fair share borrows: it yields to
 * callers within theirs.
 */
import type { Caller } from "./requests.js";
import type { SubscriberId, TeamId } from "./teams.js";

/** Time constant of the exponential decay of usage, in milliseconds. */
export const usageDecayMilliseconds = 10_000;
/** A caller borrows if its recent usage exceeds its fair share by this factor. */
export const borrowingFactor = 1.5;

interface DecayedUsage {
    tokens: number;
    updatedAt: number;
}

interface TeamUsage extends DecayedUsage {
    share: number;
    /** In order of last activity, oldest first. */
    readonly subscribers: Map<SubscriberId, DecayedUsage>;
}

/** Recent usage of one model by all callers. */
export class RecentUsage {
    private readonly teams = new Map<TeamId, TeamUsage>();

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
        const known = team.subscribers.get(caller.subscriber) ?? { tokens: 0, updatedAt: now };
        team.subscribers.delete(caller.subscriber);
        team.subscribers.set(caller.subscriber, known);
        addDecayed(known, tokens, now);
        removeInactiveSubscribers(team, now);
    }

    /** Adds usage of a team whose subscribers are unknown. */
    public addToTeam(teamId: TeamId, tokens: number, now: number): void {
        addDecayed(this.teamOf(teamId, now), tokens, now);
    }

    /** Number of teams whose usage is kept. */
    public get teamCount(): number {
        return this.teams.size;
    }

    /** Returns the recent usage of all teams in tokens. */
    public tokensByTeam(now: number): ReadonlyMap<TeamId, number> {
        return new Map([...this.teams].map(([id, team]) => [id, decayedTokens(team, now)]));
    }

    /** Returns the caller's recent usage as a multiple of the mean of its team's subscribers; 1 if it is not known. */
    public ratioInTeam({ team: teamId, subscriber: subscriberId }: Caller, now: number): number {
        const subscribers = this.teams.get(teamId)?.subscribers;
        const subscriber = subscribers?.get(subscriberId);
        if (subscribers === undefined || subscriber === undefined) {
            return 1;
        }
        const tokens = [...subscribers.values()].map(each => decayedTokens(each, now));
        const mean = tokens.reduce((sum, each) => sum + each, 0) / tokens.length;
        return mean === 0 ? 1 : decayedTokens(subscriber, now) / mean;
    }

    /** Removes the teams whose recent usage is below `minimumTokens`. */
    public removeIdleTeams(minimumTokens: number, now: number): void {
        for (const [id, team] of this.teams) {
            if (decayedTokens(team, now) < minimumTokens) {
                this.teams.delete(id);
            }
        }
    }

    /** Returns true if the caller's recent usage clearly exceeds its fair share. */
    public isBorrowing(caller: Caller, now: number): boolean {
        const team = this.teams.get(caller.team);
        const subscriber = team?.subscribers.get(caller.subscriber);
        if (team === undefined || subscriber === undefined) {
            return false;
        }
        const fairShare = this.fairShareOf(team, now) / Math.max(1, team.subscribers.size);
        return decayedTokens(subscriber, now) > borrowingFactor * fairShare;
    }

    /** Returns the team's fair part of the total usage in tokens, in proportion to the shares of the active teams. */
    private fairShareOf(team: TeamUsage, now: number): number {
        let total = 0;
        let shares = 0;
        for (const other of this.teams.values()) {
            if (other === team || other.subscribers.size > 0) {
                total += decayedTokens(other, now);
                shares += other.share;
            }
        }
        return (total * team.share) / shares;
    }

    private teamOf(id: TeamId, now: number): TeamUsage {
        let team = this.teams.get(id);
        if (team === undefined) {
            team = {
                share: 1,
                tokens: 0,
                updatedAt: now,
                subscribers: new Map<SubscriberId, DecayedUsage>(),
            };
            this.teams.set(id, team);
        }
        return team;
    }
}

function decayedTokens(use: DecayedUsage, now: number): number {
    return use.tokens * Math.exp((use.updatedAt - now) / usageDecayMilliseconds);
}

function addDecayed(use: DecayedUsage, tokens: number, now: number): void {
    use.tokens = Math.max(0, decayedTokens(use, now) + tokens);
    use.updatedAt = now;
}

function removeInactiveSubscribers(team: TeamUsage, now: number): void {
    for (const [id, use] of team.subscribers) {
        if (use.updatedAt > now - usageDecayMilliseconds) {
            return;
        }
        team.subscribers.delete(id);
    }
}
