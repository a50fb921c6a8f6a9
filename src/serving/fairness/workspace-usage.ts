/**
 * Work that workspaces asked for and received lately, over all entry instances: what tells whether a workspace takes more
 * than its share while others wait. Capacity of one pool is of no use to another, so shares are of each pool.
 */
import { RecentUsage } from "../../core/recent-usage.js";
import { UsageExchange } from "../../core/usage-exchange.js";

/**
 * Part of a workspace's share that follows from what it asks for; the rest is the same for all. With equal shares alone, a
 * workspace with 40% of the requests would be served a tenth as often as the others at twice the capacity.
 */
const demandFraction = 0.5;
/** Work in milliseconds that is added to usage and shares, so that single requests are no overuse. */
const minimumWorkMilliseconds = 100;
/** Recent work below which a workspace is forgotten and counts as idle, in milliseconds. */
const idleWorkMilliseconds = 5;
/** Maximum number of workspaces of a pool in one datagram, those with the most recent work. */
const maximumAnnouncedWorkspaces = 12;
/** Maximum number of workspaces of which the usage is kept. */
const maximumWorkspaces = 500;

/** Cumulative work of a workspace in a pool since the start of a process, in milliseconds of a replica group. */
export interface AnnouncedUsage {
    readonly pool: string;
    readonly workspace: string;
    readonly arrivedMilliseconds: number;
    readonly startedMilliseconds: number;
}

interface PoolUsage {
    readonly arrived: RecentUsage;
    readonly started: RecentUsage;
}

export class WorkspaceUsage {
    private readonly pools = new Map<string, PoolUsage>();
    private readonly exchange = UsageExchange.create();

    private constructor() {}

    public static create(): WorkspaceUsage {
        return new WorkspaceUsage();
    }

    /** Records work that callers asked for. */
    public recordArrival(pool: string, workspace: string, milliseconds: number, now: number): void {
        this.poolOf(pool).arrived.addToTeam(workspace, milliseconds, now);
        this.exchange.addToTeam(arrivedKey(pool), workspace, milliseconds);
    }

    /** Records work that was sent to a replica group. */
    public recordStart(pool: string, workspace: string, milliseconds: number, now: number): void {
        this.poolOf(pool).started.addToTeam(workspace, milliseconds, now);
        this.exchange.addToTeam(startedKey(pool), workspace, milliseconds);
    }

    /** Returns what a workspace received lately as a multiple of its share; 1 is its share. */
    public overuseOf(pool: string, workspace: string, now: number): number {
        const { arrived, started } = this.poolOf(pool);
        const arrivedBy = arrived.tokensByTeam(now);
        const startedBy = started.tokensByTeam(now);
        const activeCount = [...arrivedBy.values()].filter(work => work > idleWorkMilliseconds).length;
        const demandShare =
            (arrivedBy.get(workspace) ?? 0) / Math.max(idleWorkMilliseconds, sumOf(arrivedBy));
        const share = demandFraction * demandShare + (1 - demandFraction) / Math.max(1, activeCount);
        const received = startedBy.get(workspace) ?? 0;
        return (received + minimumWorkMilliseconds) / (share * sumOf(startedBy) + minimumWorkMilliseconds);
    }

    /** Returns the part of a workspace's recent work that was started, as a multiple of that of all. */
    public servedRatioOf(pool: string, workspace: string, now: number): number {
        const { arrived, started } = this.poolOf(pool);
        const arrivedBy = arrived.tokensByTeam(now);
        const startedBy = started.tokensByTeam(now);
        const part = (startedBy.get(workspace) ?? 0) / (arrivedBy.get(workspace) ?? 0);
        const partOfAll = sumOf(startedBy) / sumOf(arrivedBy);
        const isKnown = (arrivedBy.get(workspace) ?? 0) > minimumWorkMilliseconds && partOfAll > 0;
        return isKnown ? part / partOfAll : 1;
    }

    /** Cumulative work of the workspaces with the most recent work in some pools, for the peers. */
    public announcement(pools: readonly string[], now: number): readonly AnnouncedUsage[] {
        return pools.flatMap(pool => {
            const heaviest = [...this.poolOf(pool).arrived.tokensByTeam(now)]
                .filter(([, work]) => work > idleWorkMilliseconds)
                .sort(([, left], [, right]) => right - left)
                .slice(0, maximumAnnouncedWorkspaces)
                .map(([workspace]) => workspace);
            const started = new Map(
                this.exchange.totalsOf(startedKey(pool), heaviest).map(({ team, tokens }) => [team, tokens]),
            );
            return this.exchange.totalsOf(arrivedKey(pool), heaviest).map(({ team, tokens }) => ({
                pool,
                workspace: team,
                arrivedMilliseconds: Math.round(tokens),
                startedMilliseconds: Math.round(started.get(team) ?? 0),
            }));
        });
    }

    /** Adds what a start of a peer announced since its last announcement. */
    public applyPeer(peer: string, announced: readonly AnnouncedUsage[], now: number): void {
        this.exchange.expire(now);
        const totals = announced.flatMap(({ pool, workspace, arrivedMilliseconds, startedMilliseconds }) => [
            { model: arrivedKey(pool), team: workspace, tokens: arrivedMilliseconds, recentTokens: 0 },
            { model: startedKey(pool), team: workspace, tokens: startedMilliseconds, recentTokens: 0 },
        ]);
        // The name of the peer includes its start, so that there is only one incarnation of it.
        const charges = totals.length === 0 ? [] : this.exchange.applyPeer(peer, 0, { totals }, now);
        for (const { model, team, tokens } of charges) {
            const { arrived, started } = this.poolOf(model.slice(2));
            (model === arrivedKey(model.slice(2)) ? arrived : started).addToTeam(team, tokens, now);
        }
        for (const { arrived, started } of this.pools.values()) {
            [arrived, started].forEach(usage => forgetIdle(usage, now));
        }
    }

    private poolOf(pool: string): PoolUsage {
        const usage = this.pools.get(pool) ?? {
            arrived: RecentUsage.create(),
            started: RecentUsage.create(),
        };
        this.pools.set(pool, usage);
        return usage;
    }
}

function arrivedKey(pool: string): string {
    return `a ${pool}`;
}

function startedKey(pool: string): string {
    return `s ${pool}`;
}

function sumOf(workBy: ReadonlyMap<string, number>): number {
    return [...workBy.values()].reduce((sum, work) => sum + work, 0);
}

function forgetIdle(usage: RecentUsage, now: number): void {
    if (usage.teamCount > maximumWorkspaces) {
        usage.removeIdleTeams(idleWorkMilliseconds, now);
    }
}
