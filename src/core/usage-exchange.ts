/** Usage counters that entry processes exchange, keyed by process and incarnation. */
import type { Caller } from "./requests.js";
import type { SubscriberId, TeamId } from "./teams.js";

/** Tokens that one process has charged since its incarnation began. */
export interface UsageTotal {
    readonly model: string;
    readonly team: TeamId;
    /** Undefined for the total of the whole team. */
    readonly subscriber?: SubscriberId;
    readonly tokens: number;
    /** The part of `tokens` charged since the previous snapshot. */
    readonly recentTokens: number;
}

/** Usage counters that one process sends to its peers. */
export interface UsageSnapshot {
    readonly totals: readonly UsageTotal[];
}

/** Charge derived from a peer's counters. */
export interface PeerCharge {
    readonly model: string;
    readonly team: TeamId;
    readonly subscriber?: SubscriberId;
    readonly tokens: number;
}

/** Maximum number of subscribers in one snapshot. */
export const maximumSnapshotSubscribers = 32;
/**
 * Silence in milliseconds after which the baseline of a peer's counters is discarded: what the peer used while it was
 * unreachable took no capacity on this side of the partition and is not charged.
 */
export const peerUsageExpiryMilliseconds = 10_000;

interface LocalTotal {
    readonly model: string;
    readonly team: TeamId;
    readonly subscriber?: SubscriberId;
    tokens: number;
    reported: number;
}

interface PeerTotals {
    readonly incarnation: number;
    lastSeenAt: number;
    readonly tokens: Map<string, number>;
}

/** Holds the counters of this process and the last counters of its peers. */
export class UsageExchange {
    private readonly local = new Map<string, LocalTotal>();
    private readonly peers = new Map<string, PeerTotals>();

    private constructor() {}

    public static create(): UsageExchange {
        return new UsageExchange();
    }

    /** Number of peers whose counters are kept. */
    public get peerCount(): number {
        return this.peers.size;
    }

    public add(model: string, caller: Caller, tokens: number): void {
        this.addToTeam(model, caller.team, tokens);
        this.addTo(totalKey(model, caller.team, caller.subscriber), { model, ...caller }, tokens);
    }

    /** Adds tokens of a team whose subscribers are not exchanged. */
    public addToTeam(model: string, team: TeamId, tokens: number): void {
        this.addTo(totalKey(model, team), { model, team }, tokens);
    }

    /**
     * Returns the totals of some teams, also if they have not changed, for messages that any peer may miss. A peer that knows
     * no earlier total of a team charges nothing for the first one.
     */
    public totalsOf(model: string, teams: Iterable<TeamId>): readonly UsageTotal[] {
        return [...teams].flatMap(team => {
            const total = this.local.get(totalKey(model, team));
            return total === undefined ? [] : [{ model, team, tokens: total.tokens, recentTokens: 0 }];
        });
    }

    /** Returns the totals that changed since the previous snapshot, of all teams and of the heaviest subscribers. */
    public snapshot(): UsageSnapshot {
        const changed = [...this.local.values()].filter(total => total.tokens !== total.reported);
        const heaviest = changed
            .filter(total => total.subscriber !== undefined)
            .sort((left, right) => right.tokens - right.reported - (left.tokens - left.reported))
            .slice(0, maximumSnapshotSubscribers);
        const totals = [...changed.filter(total => total.subscriber === undefined), ...heaviest].map(
            toUsageTotal,
        );
        for (const total of changed) {
            total.reported = total.tokens;
        }
        return { totals };
    }

    /** Returns the increase over the peer's previous counters. Snapshots of an older incarnation are ignored. */
    public applyPeer(
        process: string,
        incarnation: number,
        snapshot: UsageSnapshot,
        now: number,
    ): readonly PeerCharge[] {
        const peer = this.peerOf(process, incarnation, now);
        if (peer === undefined) {
            return [];
        }
        return snapshot.totals.flatMap(total => toPeerCharges(peer, total));
    }

    /** Removes peers that have been silent for ten times the expiry time. */
    public expire(now: number): void {
        for (const [process, peer] of this.peers) {
            if (peer.lastSeenAt + 10 * peerUsageExpiryMilliseconds <= now) {
                this.peers.delete(process);
            }
        }
    }

    private peerOf(process: string, incarnation: number, now: number): PeerTotals | undefined {
        const known = this.peers.get(process);
        if (known !== undefined && known.incarnation > incarnation) {
            return undefined;
        }
        const isFresh =
            known?.incarnation === incarnation && known.lastSeenAt + peerUsageExpiryMilliseconds > now;
        const peer = isFresh ? known : { incarnation, lastSeenAt: now, tokens: new Map<string, number>() };
        peer.lastSeenAt = now;
        this.peers.set(process, peer);
        return peer;
    }

    private addTo(key: string, names: Omit<LocalTotal, "tokens" | "reported">, tokens: number): void {
        const total = this.local.get(key);
        if (total === undefined) {
            this.local.set(key, { ...names, tokens, reported: 0 });
            return;
        }
        total.tokens += tokens;
    }
}

function totalKey(model: string, team: TeamId, subscriber?: SubscriberId): string {
    return `${model}\u0000${team}\u0000${subscriber ?? ""}`;
}

function toUsageTotal(total: LocalTotal): UsageTotal {
    const { model, team, subscriber, tokens, reported } = total;
    return { model, team, subscriber, tokens, recentTokens: tokens - reported };
}

/**
 * Returns the charge for the increase of one total. Counters only grow, so a total that does not exceed the previous
 * one is from a late or duplicate snapshot and gives no charge.
 */
function toPeerCharges(peer: PeerTotals, total: UsageTotal): readonly PeerCharge[] {
    const { model, team, subscriber } = total;
    const key = totalKey(model, team, subscriber);
    const before = peer.tokens.get(key) ?? total.tokens - total.recentTokens;
    if (!peer.tokens.has(key)) {
        peer.tokens.set(key, before);
    }
    const tokens = total.tokens - before;
    if (tokens <= 0) {
        return [];
    }
    peer.tokens.set(key, total.tokens);
    return [{ model, team, subscriber, tokens }];
}
