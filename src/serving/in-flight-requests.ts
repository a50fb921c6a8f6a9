/**
 * Requests in flight at replica groups: exact for this process, and as last announced for the other entry instances.
 * Also records when each group last made progress, so that a stalled group can be detected.
 */
import type { EngineLoad } from "./engine-model.js";
import type { LoadChange } from "./routing/load-news.js";
import type { OutputEstimate } from "./routing/output-predictor.js";
import { remainingTokens } from "./routing/output-predictor.js";

/** One request in flight at a group. */
interface InFlightRequest {
    readonly promptTokens: number;
    /** True once the first event of the response has arrived. */
    hasBegun: boolean;
    /** True if the request waits behind those that can still meet their objective. */
    readonly isDeferred: boolean;
    /** Undefined if nothing is known of the output. */
    readonly output: OutputEstimate | undefined;
    /** Number of output tokens that have arrived. */
    generatedTokens: number;
}

/** Requests and unread prompt tokens at a group. */
export interface GroupBacklog {
    /** Load without the deferred requests that have not begun. */
    readonly urgent: EngineLoad;
    readonly all: EngineLoad;
}

/** Load of one group as one entry instance announces it. */
export interface GroupLoad extends GroupBacklog {
    readonly group: string;
}

/** A group at which this process has requests in flight. */
export interface ActiveGroup {
    readonly group: string;
    /** Local monotonic milliseconds of the last event, or of the first dispatch if no event has arrived since. */
    readonly lastProgressAt: number;
    /** True if a stream has begun, so that events are expected continuously. */
    readonly hasRunningStreams: boolean;
}

interface PeerLoads {
    readonly loads: Map<string, GroupBacklog>;
    readonly expiresAt: number;
}

export class InFlightRequests {
    private readonly requestsByGroup = new Map<string, Map<number, InFlightRequest>>();
    private readonly lastProgressAt = new Map<string, number>();
    private readonly lastEventAt = new Map<string, number>();
    private readonly loadsByPeer = new Map<string, PeerLoads>();
    private lastId = 0;

    private constructor(private readonly onChange: (group: string, change: LoadChange) => void) {}

    /** `onChange` is called when the load of this process at a group has changed. */
    public static create(
        onChange: (group: string, change: LoadChange) => void = () => undefined,
    ): InFlightRequests {
        return new InFlightRequests(onChange);
    }

    /** Records a request that was sent to a group; returns its id. */
    public start(
        group: string,
        promptTokens: number,
        now: number,
        isDeferred = false,
        output?: OutputEstimate,
    ): number {
        const requests = this.requestsByGroup.get(group) ?? new Map<number, InFlightRequest>();
        if (requests.size === 0) {
            this.lastProgressAt.set(group, now);
        }
        this.lastId += 1;
        requests.set(this.lastId, { promptTokens, hasBegun: false, isDeferred, output, generatedTokens: 0 });
        this.requestsByGroup.set(group, requests);
        this.onChange(group, "sent");
        return this.lastId;
    }

    /** Records an event of the stream of a request in flight, with `tokens` output tokens. */
    public recordProgress(group: string, id: number, now: number, tokens = 0): void {
        this.lastProgressAt.set(group, now);
        this.lastEventAt.set(group, now);
        const request = this.requestsByGroup.get(group)?.get(id);
        if (request === undefined) {
            return;
        }
        request.generatedTokens += tokens;
        if (!request.hasBegun) {
            request.hasBegun = true;
            this.onChange(group, "begun");
        }
    }

    public end(group: string, id: number): void {
        const requests = this.requestsByGroup.get(group);
        const hasEnded = requests?.delete(id) === true;
        if (requests?.size === 0) {
            this.requestsByGroup.delete(group);
        }
        if (hasEnded) {
            this.onChange(group, "ended");
        }
    }

    /** Groups at which this process has requests in flight. */
    public activeGroups(): readonly ActiveGroup[] {
        return [...this.requestsByGroup].map(([group, requests]) => ({
            group,
            lastProgressAt: this.lastProgressAt.get(group) ?? 0,
            hasRunningStreams: [...requests.values()].some(request => request.hasBegun),
        }));
    }

    /**
     * Local monotonic milliseconds of the last progress at any other group, 0 if there was none; shows that this
     * process's own links work.
     */
    public lastProgressElsewhereAt(group: string): number {
        const others = [...this.lastProgressAt].filter(([key]) => key !== group).map(([, at]) => at);
        return Math.max(0, ...others);
    }

    /** Local monotonic milliseconds of this process's last event at the group or dispatch to it while idle, else 0. */
    public lastProgressOf(group: string): number {
        return this.lastProgressAt.get(group) ?? 0;
    }

    /** Local monotonic milliseconds of this process's last event of a stream at the group, else 0. */
    public lastEventOf(group: string): number {
        return this.lastEventAt.get(group) ?? 0;
    }

    /**
     * True if a stream of this process at the group has made progress since `since` (local monotonic milliseconds).
     */
    public hasProgressedSince(group: string, since: number): boolean {
        return this.lastProgressOf(group) >= since;
    }

    public localLoads(): readonly GroupLoad[] {
        return this.localLoadsAt([...this.requestsByGroup.keys()]);
    }

    /** Loads of this process at some groups, also those without requests. */
    public localLoadsAt(groups: readonly string[]): readonly GroupLoad[] {
        return groups.map(group => ({ group, ...this.localBacklogOf(group) }));
    }

    /**
     * Applies the loads that another entry instance announced; they expire at `expiresAt` (local monotonic
     * milliseconds).
     */
    public applyPeerLoads(peer: string, loads: readonly GroupLoad[], expiresAt: number): void {
        const byGroup = new Map<string, GroupBacklog>(loads.map(load => [load.group, load]));
        this.loadsByPeer.set(peer, { loads: byGroup, expiresAt });
    }

    /** Applies the loads of some groups that another entry instance announced; those of the others stay as they are. */
    public applyPeerNews(peer: string, loads: readonly GroupLoad[], now: number, expiresAt: number): void {
        const known = this.loadsByPeer.get(peer);
        if (known === undefined || now >= known.expiresAt) {
            this.applyPeerLoads(peer, loads, expiresAt);
        } else {
            loads.forEach(load => known.loads.set(load.group, load));
        }
    }

    /** Backlog of a group from this process and all peers whose announcements have not expired. */
    public backlogOf(group: string, now: number): GroupBacklog {
        let { urgent, all } = this.localBacklogOf(group);
        for (const peer of this.loadsByPeer.values()) {
            const backlog = now < peer.expiresAt ? peer.loads.get(group) : undefined;
            if (backlog !== undefined) {
                urgent = sumLoads(urgent, backlog.urgent);
                all = sumLoads(all, backlog.all);
            }
        }
        return { urgent, all };
    }

    /** Drops the records of removed groups without requests in flight. */
    public retainGroups(groups: ReadonlySet<string>): void {
        for (const times of [this.lastProgressAt, this.lastEventAt]) {
            const removed = [...times.keys()].filter(
                key => !groups.has(key) && !this.requestsByGroup.has(key),
            );
            removed.forEach(key => times.delete(key));
        }
    }

    private localBacklogOf(group: string): GroupBacklog {
        const requests = [...(this.requestsByGroup.get(group)?.values() ?? [])];
        return {
            urgent: loadOf(requests.filter(request => request.hasBegun || !request.isDeferred)),
            all: loadOf(requests),
        };
    }
}

function loadOf(requests: readonly InFlightRequest[]): EngineLoad {
    let unreadTokens = 0;
    let predictedRequests = 0;
    let outputTokens = 0;
    for (const { promptTokens, hasBegun, output, generatedTokens } of requests) {
        unreadTokens += hasBegun ? 0 : promptTokens;
        if (output !== undefined) {
            predictedRequests += 1;
            outputTokens += remainingTokens(output, generatedTokens);
        }
    }
    return { requests: requests.length, unreadTokens, predictedRequests, outputTokens };
}

function sumLoads(left: EngineLoad, right: EngineLoad): EngineLoad {
    return {
        requests: left.requests + right.requests,
        unreadTokens: left.unreadTokens + right.unreadTokens,
        predictedRequests: (left.predictedRequests ?? 0) + (right.predictedRequests ?? 0),
        outputTokens: (left.outputTokens ?? 0) + (right.outputTokens ?? 0),
    };
}
