/**
 * Virtual-time fair queueing of one model's waiting requests: teams by share and rank, then the subscribers of a team
 * equally. A team's virtual time is its tokens divided by its share; a subscriber's is its tokens.
 */
import type { HeapItem } from "./indexed-heap.js";
import { IndexedHeap } from "./indexed-heap.js";
import type { Caller, RequestId } from "./requests.js";
import type { SubscriberId, TeamId } from "./teams.js";

/** Head start of a team over a team of the next rank, in tokens per unit of share. */
export const rankHeadStartTokens = 2_000;

/** Share and rank of one team. */
export interface TeamWeight {
    readonly share: number;
    readonly rank: number;
}

/** A waiting request. */
export interface QueuedRequest {
    readonly id: RequestId;
    readonly caller: Caller;
}

/** Waiting requests in the order in which they may start. */
export interface RequestQueue {
    readonly size: number;
    readonly enqueue: (item: QueuedRequest) => void;
    /** Returns a taken request that could not start to the front of its subscriber's queue. */
    readonly requeue: (item: QueuedRequest) => void;
    readonly peek: () => QueuedRequest | undefined;
    readonly take: () => QueuedRequest | undefined;
    readonly remove: (item: QueuedRequest) => boolean;
    /** Charges tokens to a caller; a negative number refunds. */
    readonly charge: (caller: Caller, tokens: number) => void;
    /** Charges a subscriber but not its team, which is charged separately. */
    readonly chargeSubscriber: (caller: Caller, tokens: number) => void;
    /** Charges a team for tokens whose subscribers are unknown. */
    readonly chargeTeam: (team: TeamId, tokens: number) => void;
    readonly applyTeamWeight: (team: TeamId, weight: TeamWeight) => void;
    /** Highest virtual time at which a subscriber of the team has been served; never decreases. */
    readonly virtualTimeOf: (team: TeamId) => number;
    /**
     * Returns how far `virtualTimeOf` the caller's team must advance until a new request of the caller would start, if
     * each waiting request costs `meanCost` tokens.
     */
    readonly virtualTimeAhead: (caller: Caller, meanCost: number) => number;
}

class SubscriberNode implements HeapItem {
    public position = -1;
    public virtualTime = 0;
    /** Waiting requests; insertion order is arrival order. */
    public items = new Map<RequestId, QueuedRequest>();

    public constructor(public readonly id: SubscriberId) {}
}

class TeamNode implements HeapItem {
    public position = -1;
    public virtualTime = 0;
    /** Highest virtual time at which a subscriber has been served. */
    public servedVirtualTime = 0;
    public readonly subscribers = new Map<SubscriberId, SubscriberNode>();
    public readonly waiting = IndexedHeap.create<SubscriberNode>(
        (left, right) => left.virtualTime < right.virtualTime,
    );

    public constructor(public weight: TeamWeight) {}

    public get sortKey(): number {
        return this.virtualTime + this.weight.rank * rankHeadStartTokens;
    }
}

const defaultWeight: TeamWeight = { share: 1, rank: 0 };
const subscriberCleanupThreshold = 20_000;

/** Queue in fair order. */
export class FairQueue implements RequestQueue {
    private waitingCount = 0;
    /** Highest virtual time at which a team has been served. */
    private servedVirtualTime = 0;
    private readonly teams = new Map<TeamId, TeamNode>();
    private readonly waiting = IndexedHeap.create<TeamNode>((left, right) => left.sortKey < right.sortKey);

    private constructor() {}

    public static create(): FairQueue {
        return new FairQueue();
    }

    public get size(): number {
        return this.waitingCount;
    }

    public enqueue(item: QueuedRequest): void {
        const { team, subscriber } = this.activateCaller(item.caller);
        subscriber.items.set(item.id, item);
        this.waitingCount += 1;
        team.waiting.put(subscriber);
        this.waiting.put(team);
    }

    public requeue(item: QueuedRequest): void {
        const subscriber = this.subscriberOf(this.teamOf(item.caller.team), item.caller.subscriber);
        const waitingItems = [...subscriber.items.values()];
        subscriber.items = new Map([[item.id, item]]);
        for (const waiting of waitingItems) {
            subscriber.items.set(waiting.id, waiting);
        }
        this.waitingCount += 1;
        const team = this.teamOf(item.caller.team);
        team.waiting.put(subscriber);
        this.waiting.put(team);
    }

    public peek(): QueuedRequest | undefined {
        const subscriber = this.waiting.peek()?.waiting.peek();
        return subscriber?.items.values().next().value;
    }

    public take(): QueuedRequest | undefined {
        const team = this.waiting.peek();
        const subscriber = team?.waiting.peek();
        const item = subscriber?.items.values().next().value;
        if (team === undefined || subscriber === undefined || item === undefined) {
            return undefined;
        }
        this.servedVirtualTime = Math.max(this.servedVirtualTime, team.virtualTime);
        team.servedVirtualTime = Math.max(team.servedVirtualTime, subscriber.virtualTime);
        this.remove(item);
        return item;
    }

    public remove(item: QueuedRequest): boolean {
        const team = this.teams.get(item.caller.team);
        const subscriber = team?.subscribers.get(item.caller.subscriber);
        if (team === undefined || subscriber === undefined || !subscriber.items.delete(item.id)) {
            return false;
        }
        this.waitingCount -= 1;
        if (subscriber.items.size === 0) {
            team.waiting.remove(subscriber);
        }
        if (team.waiting.size === 0) {
            this.waiting.remove(team);
        }
        return true;
    }

    public charge(caller: Caller, tokens: number): void {
        this.chargeTeam(caller.team, tokens);
        this.chargeSubscriber(caller, tokens);
    }

    public chargeSubscriber(caller: Caller, tokens: number): void {
        const team = this.teamOf(caller.team);
        const subscriber = this.subscriberOf(team, caller.subscriber);
        subscriber.virtualTime += tokens;
        team.waiting.update(subscriber);
    }

    public chargeTeam(teamId: TeamId, tokens: number): void {
        const team = this.teamOf(teamId);
        team.virtualTime += tokens / team.weight.share;
        this.waiting.update(team);
    }

    public applyTeamWeight(teamId: TeamId, weight: TeamWeight): void {
        const team = this.teamOf(teamId);
        team.weight = weight;
        this.waiting.update(team);
    }

    public virtualTimeOf(team: TeamId): number {
        return this.teams.get(team)?.servedVirtualTime ?? 0;
    }

    public virtualTimeAhead(caller: Caller, meanCost: number): number {
        const team = this.teams.get(caller.team);
        const subscriber = team?.subscribers.get(caller.subscriber);
        if (team === undefined || subscriber === undefined) {
            return 0;
        }
        const lead = Math.max(0, subscriber.virtualTime - team.servedVirtualTime);
        return lead + subscriber.items.size * meanCost;
    }

    /** Advances an idle caller to the current virtual time, so that unused share is lent to others and not saved up. */
    private activateCaller(caller: Caller): { readonly team: TeamNode; readonly subscriber: SubscriberNode } {
        const team = this.teamOf(caller.team);
        if (team.waiting.size === 0) {
            team.virtualTime = Math.max(team.virtualTime, this.servedVirtualTime);
        }
        const subscriber = this.subscriberOf(team, caller.subscriber);
        if (subscriber.items.size === 0) {
            subscriber.virtualTime = Math.max(subscriber.virtualTime, team.servedVirtualTime);
        }
        return { team, subscriber };
    }

    private teamOf(id: TeamId): TeamNode {
        let team = this.teams.get(id);
        if (team === undefined) {
            team = new TeamNode(defaultWeight);
            team.virtualTime = this.servedVirtualTime;
            this.teams.set(id, team);
        }
        return team;
    }

    private subscriberOf(team: TeamNode, id: SubscriberId): SubscriberNode {
        let subscriber = team.subscribers.get(id);
        if (subscriber === undefined) {
            if (team.subscribers.size >= subscriberCleanupThreshold) {
                removeIdleSubscribers(team);
            }
            subscriber = new SubscriberNode(id);
            subscriber.virtualTime = team.servedVirtualTime;
            team.subscribers.set(id, subscriber);
        }
        return subscriber;
    }
}

/** Removes subscribers that have no waiting requests and are not ahead of the team's served virtual time. */
function removeIdleSubscribers(team: TeamNode): void {
    for (const [id, subscriber] of team.subscribers) {
        if (subscriber.items.size === 0 && subscriber.virtualTime <= team.servedVirtualTime) {
            team.subscribers.delete(id);
        }
    }
}

/** Queue in arrival order, as a baseline. */
export class ArrivalQueue implements RequestQueue {
    private takenCount = 0;
    private items = new Map<RequestId, QueuedRequest>();

    private constructor() {}

    public static create(): ArrivalQueue {
        return new ArrivalQueue();
    }

    public get size(): number {
        return this.items.size;
    }

    public enqueue(item: QueuedRequest): void {
        this.items.set(item.id, item);
    }

    public requeue(item: QueuedRequest): void {
        this.items = new Map([[item.id, item], ...this.items]);
    }

    public peek(): QueuedRequest | undefined {
        return this.items.values().next().value;
    }

    public take(): QueuedRequest | undefined {
        const item = this.peek();
        if (item !== undefined) {
            this.items.delete(item.id);
            this.takenCount += 1;
        }
        return item;
    }

    public remove(item: QueuedRequest): boolean {
        return this.items.delete(item.id);
    }

    public charge(): void {}

    public chargeSubscriber(): void {}

    public chargeTeam(): void {}

    public applyTeamWeight(): void {}

    public virtualTimeOf(): number {
        return this.takenCount;
    }

    public virtualTimeAhead(): number {
        return this.items.size;
    }
}
