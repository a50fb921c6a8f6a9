/**
 * Sums the work that arrives at all entry instances from their cumulative counters. A lost datagram loses nothing, since the
 * next one holds the whole count; a peer that falls silent expires, and what it counted meanwhile is not made up for.
 */
import type { ModelWork, WorkAnnouncement } from "./arrived-work.js";

/** Minimum sampled refusals from which the repetitions at several processes are estimated. */
const minimumSamples = 8;

interface PeerWork {
    readonly incarnation: string;
    readonly announcement: WorkAnnouncement;
    /** Local monotonic milliseconds. */
    readonly expiresAt: number;
}

/** Work of one model in milliseconds of a full group. */
export interface WorkTotal {
    readonly arrivedMilliseconds: number;
    readonly refusedMilliseconds: number;
}

export class DeploymentWork {
    private readonly peers = new Map<string, PeerWork>();
    private readonly totals = new Map<string, WorkTotal>();

    private constructor() {}

    public static create(): DeploymentWork {
        return new DeploymentWork();
    }

    /**
     * Applies the announcement of an entry instance, which expires at `expiresAt` (local monotonic milliseconds). The first one
     * of an incarnation only sets the base of its counters.
     */
    public apply(
        name: string,
        incarnation: string,
        announcement: WorkAnnouncement,
        expiresAt: number,
        now: number,
    ): void {
        this.expire(now);
        const previous = this.peers.get(name);
        this.peers.set(name, { incarnation, announcement, expiresAt });
        if (previous?.incarnation !== incarnation) {
            return;
        }
        const before = new Map(previous.announcement.counters.map(work => [work.model, work]));
        announcement.counters.forEach(work => this.add(work, before.get(work.model)));
    }

    /** Work by model since this process started, without the periods in which a peer was silent. */
    public totalsAt(now: number): ReadonlyMap<string, WorkTotal> {
        this.expire(now);
        return this.totals;
    }

    /**
     * Average number of entry instances that refused the same request: callers repeat a refused request at any of them,
     * and each counts it once.
     */
    public refusalsPerRequest(now: number): number {
        this.expire(now);
        const samples = [...this.peers.values()].flatMap(({ announcement }) => announcement.refusedSamples);
        return samples.length < minimumSamples ? 1 : samples.length / new Set(samples).size;
    }

    private add(work: ModelWork, before: ModelWork | undefined): void {
        const total = this.totals.get(work.model) ?? { arrivedMilliseconds: 0, refusedMilliseconds: 0 };
        const arrived = work.arrivedMilliseconds - (before?.arrivedMilliseconds ?? 0);
        const refused = work.refusedMilliseconds - (before?.refusedMilliseconds ?? 0);
        this.totals.set(work.model, {
            arrivedMilliseconds: total.arrivedMilliseconds + Math.max(0, arrived),
            refusedMilliseconds: total.refusedMilliseconds + Math.max(0, refused),
        });
    }

    private expire(now: number): void {
        for (const [name, { expiresAt }] of this.peers) {
            if (now >= expiresAt) {
                this.peers.delete(name);
            }
        }
    }
}
