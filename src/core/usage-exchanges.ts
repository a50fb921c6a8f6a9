/** Counters of use that entry processes exchange, keyed by process and incarnation. */
import type { Caller } from "./requests.js";
import type { SubscriberId, TeamId } from "./teams.js";

/** Tokens that one process has charged since its incarnation began. */
export interface UsageTotal {
    readonly model: string;
    readonly team: TeamId;
    /** Undefined for the total of the whole team. */
    readonly subscriber?: SubscriberId;
    readonly tokens: number;
    /** The part of `tokens` that was charged since the snapshot before. */
    readonly recentTokens: number;
}

/** What one process tells its peers. */
export interface UsageSnapshot {
    readonly totals: readonly UsageTotal[];
}

/** One charge that follows from a peer's counters. */
export interface PeerCharge {
    readonly model: string;
    readonly team: TeamId;
    readonly subscriber?: SubscriberId;
    readonly tokens: number;
}

/** Most subscribers that one snapshot names. */
export const snapshotSubscribers = 32;
/** After this silence in milliseconds a peer's counters start anew: its use took nothing from here. */
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
    seenAt: number;
    readonly tokens: Map<string, number>;
}

/** Counters of this process, and the last counters of its peers by process and incarnation. */
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
        this.addTo(totalKey(model, caller.team), { model, team: caller.team }, tokens);
        this.addTo(totalKey(model, caller.team, caller.subscriber), { model, ...caller }, tokens);
    }

    /** Totals of the teams and of the heaviest subscribers since the snapshot before. */
    public snapshot(): UsageSnapshot {
        const changed = [...this.local.values()].filter(total => total.tokens !== total.reported);
        const heaviest = changed
            .filter(total => total.subscriber !== undefined)
            .sort((left, right) => right.tokens - right.reported - (left.tokens - left.reported))
            .slice(0, snapshotSubscribers);
        const totals = [...changed.filter(total => total.subscriber === undefined), ...heaviest].map(
            reportTotal,
        );
        for (const total of changed) {
            total.reported = total.tokens;
        }
        return { totals };
    }

    /** Returns what a peer's counters add since its counters before. Older incarnations add nothing. */
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
        return snapshot.totals.flatMap(total => chargeOf(peer, total));
    }

    /** Forgets the peers that have been silent for long. */
    public expire(now: number): void {
        for (const [process, peer] of this.peers) {
            if (peer.seenAt + 10 * peerUsageExpiryMilliseconds <= now) {
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
            known?.incarnation === incarnation && known.seenAt + peerUsageExpiryMilliseconds > now;
        const peer = isFresh ? known : { incarnation, seenAt: now, tokens: new Map<string, number>() };
        peer.seenAt = now;
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

function reportTotal(total: LocalTotal): UsageTotal {
    const { model, team, subscriber, tokens, reported } = total;
    return { model, team, subscriber, tokens, recentTokens: tokens - reported };
}

/** Counters only grow; a total that is not above the one before is a late or repeated snapshot. */
function chargeOf(peer: PeerTotals, total: UsageTotal): readonly PeerCharge[] {
    const { model, team, subscriber } = total;
    const key = totalKey(model, team, subscriber);
    const before = peer.tokens.get(key) ?? total.tokens - total.recentTokens;
    const tokens = total.tokens - before;
    if (tokens <= 0) {
        return [];
    }
    peer.tokens.set(key, total.tokens);
    return [{ model, team, subscriber, tokens }];
}
