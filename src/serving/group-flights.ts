/**
 * Requests in flight at replica groups: this process's own, exactly, and the other entry instances', as they last told.
 * Also notes when each group last showed progress, so that a group that stands still is noticed.
 */
import type { EngineLoad } from "./engine-models.js";

/** One request at a group. */
interface Flight {
    readonly promptTokens: number;
    readonly hasBegun: boolean;
    /** Waits behind requests that can still be in time. */
    readonly isDeferred: boolean;
}

/** What is at a group. */
export interface GroupBacklog {
    /** Without the deferred requests that have not begun. */
    readonly urgent: EngineLoad;
    readonly all: EngineLoad;
}

/** Load of one group as one entry instance tells it. */
export interface GroupLoad extends GroupBacklog {
    readonly group: string;
}

/** A group at which this process has flights. */
export interface ActiveGroup {
    readonly group: string;
    /** Local monotonic milliseconds of the last event of any of them. */
    readonly progressAt: number;
    /** True if a stream has begun, so that events are due all the time. */
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

    /** Notes a send; returns the flight's number. */
    public start(group: string, promptTokens: number, now: number, isDeferred = false): number {
        const flights = this.flights.get(group) ?? new Map<number, Flight>();
        if (flights.size === 0) {
            this.progressAt.set(group, now);
        }
        this.lastFlight += 1;
        flights.set(this.lastFlight, { promptTokens, hasBegun: false, isDeferred });
        this.flights.set(group, flights);
        return this.lastFlight;
    }

    /** Notes an event of a flight's stream. */
    public progress(group: string, flight: number, now: number): void {
        this.progressAt.set(group, now);
        const flights = this.flights.get(group);
        const known = flights?.get(flight);
        if (known !== undefined && !known.hasBegun) {
            flights?.set(flight, { ...known, hasBegun: true });
        }
    }

    public end(group: string, flight: number): void {
        const flights = this.flights.get(group);
        flights?.delete(flight);
        if (flights?.size === 0) {
            this.flights.delete(group);
        }
    }

    /** Groups with own flights. */
    public active(): readonly ActiveGroup[] {
        return [...this.flights].map(([group, flights]) => ({
            group,
            progressAt: this.progressAt.get(group) ?? 0,
            hasWriters: [...flights.values()].some(flight => flight.hasBegun),
        }));
    }

    /** Latest progress at any group but this one; shows that this process's own links work. */
    public progressElsewhereAt(group: string): number {
        const others = [...this.progressAt].filter(([key]) => key !== group).map(([, at]) => at);
        return Math.max(0, ...others);
    }

    /** Local monotonic milliseconds of the last event of this process's streams at the group, 0 if there was none. */
    public progressOf(group: string): number {
        return this.progressAt.get(group) ?? 0;
    }

    /** True if a stream of this process at the group has moved on since `since` (local monotonic milliseconds). */
    public hasProgressedSince(group: string, since: number): boolean {
        return this.progressOf(group) >= since;
    }

    public ownLoads(): readonly GroupLoad[] {
        return [...this.flights.keys()].map(group => ({ group, ...this.ownBacklog(group) }));
    }

    /** Takes another entry instance's figures, which count until `expiresAt` (local monotonic milliseconds). */
    public applyPeer(peer: string, loads: readonly GroupLoad[], expiresAt: number): void {
        const byGroup = new Map(loads.map(load => [load.group, load]));
        this.peers.set(peer, { loads: byGroup, expiresAt });
    }

    /** All that is known to be at a group. */
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

    /** Drops what is kept of groups that are gone. */
    public keepOnly(groups: ReadonlySet<string>): void {
        const gone = [...this.progressAt.keys()].filter(key => !groups.has(key) && !this.flights.has(key));
        gone.forEach(key => this.progressAt.delete(key));
    }

    private ownBacklog(group: string): GroupBacklog {
        const flights = [...(this.flights.get(group)?.values() ?? [])];
        return {
            urgent: loadOf(flights.filter(flight => flight.hasBegun || !flight.isDeferred)),
            all: loadOf(flights),
        };
    }
}

function loadOf(flights: readonly Flight[]): EngineLoad {
    const unread = flights.filter(flight => !flight.hasBegun);
    return {
        requests: flights.length,
        unreadTokens: unread.reduce((sum, flight) => sum + flight.promptTokens, 0),
    };
}

function add(left: EngineLoad, right: EngineLoad): EngineLoad {
    return {
        requests: left.requests + right.requests,
        unreadTokens: left.unreadTokens + right.unreadTokens,
    };
}
