/**
 * Records how replicas responded recently. Covers replicas that fail some requests, or respond to none, while their
 * registration and health check are good.
 */
import { keepOnlyKeys } from "./collections.js";

/** Weight of the newest response in the moving averages. */
const newestResponseWeight = 0.25;
/** Time after its last failure at which an ejected replica gets requests again, in milliseconds. */
const ejectionMilliseconds = 3_000;
/**
 * Time for which a replica that rejected a request as misdirected gets no requests, in milliseconds: until its new
 * state is known.
 */
const misdirectedEjectionMilliseconds = 2_000;
/** Number of consecutive failures after which a replica is ejected for a while. */
const failuresToEject = 3;

/**
 * Time for which the number of requests of another entry instance counts, in milliseconds: the news of their end may be
 * lost, and requests to plain replicas rarely take longer.
 */
const peerCountMilliseconds = 1_000;

interface PeerCount {
    readonly count: number;
    /** Local monotonic milliseconds. */
    readonly expiresAt: number;
}

interface ReplicaRecord {
    /** Moving average of the fraction of failed requests. */
    readonly failureShare: number;
    readonly consecutiveFailures: number;
    /** Moving average of the times to a complete response and, for streams, to the first event, in milliseconds. */
    readonly meanLatencyMilliseconds: number;
    readonly failedAt: number;
}

const cleanRecord: ReplicaRecord = {
    failureShare: 0,
    consecutiveFailures: 0,
    meanLatencyMilliseconds: 0,
    failedAt: 0,
};

export class ReplicaRecords {
    private readonly records = new Map<string, ReplicaRecord>();
    private readonly misdirectedAt = new Map<string, number>();
    private readonly inFlight = new Map<string, number>();
    /** Requests of other entry instances by replica and entry instance. */
    private readonly peerCounts = new Map<string, Map<string, PeerCount>>();

    private constructor(private readonly onChange: (replica: string) => void) {}

    /** `onChange` is called when the number of requests of this process at a replica has changed. */
    public static create(onChange: (replica: string) => void = () => undefined): ReplicaRecords {
        return new ReplicaRecords(onChange);
    }

    public startRequest(replica: string): void {
        this.inFlight.set(replica, this.inFlightCountOf(replica) + 1);
        this.onChange(replica);
    }

    public endRequest(replica: string): void {
        this.inFlight.set(replica, Math.max(0, this.inFlightCountOf(replica) - 1));
        this.onChange(replica);
    }

    /** Records how many requests another entry instance has at a replica. */
    public recordPeerCount(peer: string, replica: string, count: number, now: number): void {
        const counts = this.peerCounts.get(replica) ?? new Map<string, PeerCount>();
        this.peerCounts.set(replica, counts);
        if (count === 0) {
            counts.delete(peer);
        } else {
            counts.set(peer, { count, expiresAt: now + peerCountMilliseconds });
        }
    }

    public recordSuccess(replica: string, latencyMilliseconds: number): void {
        const before = this.records.get(replica) ?? cleanRecord;
        this.records.set(replica, {
            ...before,
            failureShare: before.failureShare * (1 - newestResponseWeight),
            consecutiveFailures: 0,
            meanLatencyMilliseconds:
                before.meanLatencyMilliseconds === 0
                    ? latencyMilliseconds
                    : movingAverage(before.meanLatencyMilliseconds, latencyMilliseconds),
        });
    }

    public recordFailure(replica: string, now: number): void {
        const before = this.records.get(replica) ?? cleanRecord;
        this.records.set(replica, {
            ...before,
            failureShare: movingAverage(before.failureShare, 1),
            consecutiveFailures: before.consecutiveFailures + 1,
            failedAt: now,
        });
    }

    /**
     * Records that a replica rejected a request as misdirected: it left its group, or another replica has its
     * address now.
     */
    public recordMisdirected(replica: string, now: number): void {
        this.misdirectedAt.set(replica, now);
    }

    public inFlightCountOf(replica: string): number {
        return this.inFlight.get(replica) ?? 0;
    }

    /** True while a replica gets no requests because of consecutive failures or a misdirected request. */
    public isEjected(replica: string, now: number): boolean {
        const misdirectedAt = this.misdirectedAt.get(replica);
        if (misdirectedAt !== undefined && now - misdirectedAt < misdirectedEjectionMilliseconds) {
            return true;
        }
        const record = this.records.get(replica) ?? cleanRecord;
        return record.consecutiveFailures >= failuresToEject && now - record.failedAt < ejectionMilliseconds;
    }

    /** Cost for the choice between replicas; lower is better. */
    public costOf(replica: string, slots: number, now: number): number {
        const record = this.records.get(replica) ?? cleanRecord;
        const age = Math.min(1, (now - record.failedAt) / ejectionMilliseconds);
        const recentFailureShare = record.failureShare * (1 - age);
        const utilization = this.knownCountOf(replica, now) / Math.max(1, slots);
        return utilization + 4 * recentFailureShare + record.meanLatencyMilliseconds / 1_000;
    }

    /** Mean time of the responses of a replica, in milliseconds; 0 if there were none. */
    public meanLatencyOf(replica: string): number {
        return this.records.get(replica)?.meanLatencyMilliseconds ?? 0;
    }

    /** Requests of this process and known requests of others at a replica. */
    private knownCountOf(replica: string, now: number): number {
        let count = this.inFlightCountOf(replica);
        for (const peer of this.peerCounts.get(replica)?.values() ?? []) {
            count += now < peer.expiresAt ? peer.count : 0;
        }
        return count;
    }

    public retainReplicas(replicas: ReadonlySet<string>): void {
        for (const records of [this.records, this.misdirectedAt, this.peerCounts]) {
            keepOnlyKeys(records, replicas);
        }
    }
}

function movingAverage(before: number, newest: number): number {
    return before * (1 - newestResponseWeight) + newest * newestResponseWeight;
}
