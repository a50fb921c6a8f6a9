/**
 * Requests in flight at replica groups: exact for this process, and as last announced for the other entry instances.
 * Also records when each group last made progress, so that a stalled group can be detected.
 */
import type { EngineLoad } from "./engine-models.js";

/** One request in flight at a group. */
interface Flight {
    readonly promptTokens: number;
    /** True once the first event of the response has arrived. */
    readonly hasBegun: boolean;
    /** True if the request waits behind those that can still meet their objective. */
    readonly isDeferred: boolean;
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
    /** Local monotonic milliseconds of the last event of any of these requests. */
    readonly progressAt: number;
    /** True if a stream has begun, so that events are expected continuously. */
    readonly hasWriters: boolean;
}

interface PeerLoads {
    readonly loads: ReadonlyMap<string, GroupBacklog>;
    readonly expiresAt: number;
}

export class GroupFlights {
    private readonly flights = new Map<string, Map<number, Flight>>();
    private readonly progressAt = new Map<string, number>();
    private readonly peers = new Map<string, PeerLoads>();
    private lastFlight = 0;

    private constructor() {}

    public static create(): GroupFlights {
        return new GroupFlights();
    }

    /** Records a request that was sent to a group; returns its id. */
    public start(group: string, promptTokens: number, now: number, isDeferred = false): number {
        const requests = this.flights.get(group) ?? new Map<number, Flight>();
        if (requests.size === 0) {
            this.progressAt.set(group, now);
        }
        this.lastFlight += 1;
        requests.set(this.lastFlight, { promptTokens, hasBegun: false, isDeferred });
        this.flights.set(group, requests);
        return this.lastFlight;
    }

    /** Records an event of the stream of a request in flight. */
    public progress(group: string, id: number, now: number): void {
        this.progressAt.set(group, now);
        const requests = this.flights.get(group);
        const request = requests?.get(id);
        if (request !== undefined && !request.hasBegun) {
            requests?.set(id, { ...request, hasBegun: true });
        }
    }

    public end(group: string, id: number): void {
        const requests = this.flights.get(group);
        requests?.delete(id);
        if (requests?.size === 0) {
            this.flights.delete(group);
        }
    }

    /** Groups at which this process has requests in flight. */
    public active(): readonly ActiveGroup[] {
        return [...this.flights].map(([group, requests]) => ({
            group,
            progressAt: this.progressAt.get(group) ?? 0,
            hasWriters: [...requests.values()].some(request => request.hasBegun),
        }));
    }

    /**
     * Local monotonic milliseconds of the last progress at any other group, 0 if there was none; shows that this
     * process's own links work.
     */
    public progressElsewhereAt(group: string): number {
        const others = [...this.progressAt].filter(([key]) => key !== group).map(([, at]) => at);
        return Math.max(0, ...others);
    }

    /** Local monotonic milliseconds of the last event of this process's streams at the group, 0 if there was none. */
    public progressOf(group: string): number {
        return this.progressAt.get(group) ?? 0;
    }

    /**
     * True if a stream of this process at the group has made progress since `since` (local monotonic milliseconds).
     */
    public hasProgressedSince(group: string, since: number): boolean {
        return this.progressOf(group) >= since;
    }

    public ownLoads(): readonly GroupLoad[] {
        return [...this.flights.keys()].map(group => ({ group, ...this.ownBacklog(group) }));
    }

    /**
     * Applies the loads that another entry instance announced; they expire at `expiresAt` (local monotonic
     * milliseconds).
     */
    public applyPeer(peer: string, loads: readonly GroupLoad[], expiresAt: number): void {
        const byGroup = new Map(loads.map(load => [load.group, load]));
        this.peers.set(peer, { loads: byGroup, expiresAt });
    }

    /** Backlog of a group from this process and all peers whose announcements have not expired. */
    public backlogOf(group: string, now: number): GroupBacklog {
        let { urgent, all } = this.ownBacklog(group);
        for (const peer of this.peers.values()) {
            const backlog = now < peer.expiresAt ? peer.loads.get(group) : undefined;
            if (backlog !== undefined) {
                urgent = add(urgent, backlog.urgent);
                all = add(all, backlog.all);
            }
        }
        return { urgent, all };
    }

    /** Drops the records of removed groups without requests in flight. */
    public keepOnly(groups: ReadonlySet<string>): void {
        const removed = [...this.progressAt.keys()].filter(key => !groups.has(key) && !this.flights.has(key));
        removed.forEach(key => this.progressAt.delete(key));
    }

    private ownBacklog(group: string): GroupBacklog {
        const requests = [...(this.flights.get(group)?.values() ?? [])];
        return {
            urgent: loadOf(requests.filter(request => request.hasBegun || !request.isDeferred)),
            all: loadOf(requests),
        };
    }
}

function loadOf(requests: readonly Flight[]): EngineLoad {
    const unread = requests.filter(request => !request.hasBegun);
    return {
        requests: requests.length,
        unreadTokens: unread.reduce((sum, request) => sum + request.promptTokens, 0),
    };
}

function add(left: EngineLoad, right: EngineLoad): EngineLoad {
    return {
        requests: left.requests + right.requests,
        unreadTokens: left.unreadTokens + right.unreadTokens,
    };
}
