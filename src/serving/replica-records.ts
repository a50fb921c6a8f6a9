/**
 * Record of how replicas answered lately. Answers the load of replicas that fail part of their requests, or answer none,
 * while their registration and health check look good.
 */
import { keepOnlyKeys } from "./collections.js";

/** Weight of the newest answer in the moving shares. */
const newestWeight = 0.25;
/** Time after which a bad record is tried again, in milliseconds. */
const forgetMilliseconds = 3_000;
/** Time for which a replica that turned a request away as not its own gets no more, in milliseconds: until its new state is known. */
const misdirectedMilliseconds = 2_000;
/** Failures in a row without a success after which a replica gets no requests for a while. */
const failuresToEject = 3;

interface ReplicaRecord {
    readonly failureShare: number;
    readonly failuresInRow: number;
    /** Moving mean of the time to a whole answer, in milliseconds. */
    readonly latency: number;
    readonly failedAt: number;
}

const cleanRecord: ReplicaRecord = { failureShare: 0, failuresInRow: 0, latency: 0, failedAt: 0 };

export class ReplicaRecords {
    private readonly records = new Map<string, ReplicaRecord>();
    private readonly misdirectedAt = new Map<string, number>();
    private readonly inFlight = new Map<string, number>();

    private constructor() {}

    public static create(): ReplicaRecords {
        return new ReplicaRecords();
    }

    public start(replica: string): void {
        this.inFlight.set(replica, this.requestsAt(replica) + 1);
    }

    public end(replica: string): void {
        this.inFlight.set(replica, Math.max(0, this.requestsAt(replica) - 1));
    }

    public recordSuccess(replica: string, latency: number): void {
        const before = this.records.get(replica) ?? cleanRecord;
        this.records.set(replica, {
            ...before,
            failureShare: before.failureShare * (1 - newestWeight),
            failuresInRow: 0,
            latency: before.latency === 0 ? latency : mix(before.latency, latency),
        });
    }

    public recordFailure(replica: string, now: number): void {
        const before = this.records.get(replica) ?? cleanRecord;
        this.records.set(replica, {
            ...before,
            failureShare: mix(before.failureShare, 1),
            failuresInRow: before.failuresInRow + 1,
            failedAt: now,
        });
    }

    /** Notes that a replica does not take such requests: it left its group, or its address is somebody else's. */
    public recordMisdirected(replica: string, now: number): void {
        this.misdirectedAt.set(replica, now);
    }

    public requestsAt(replica: string): number {
        return this.inFlight.get(replica) ?? 0;
    }

    /** True while a replica that failed several times in a row, or does not take such requests, is left alone. */
    public isEjected(replica: string, now: number): boolean {
        const misdirectedAt = this.misdirectedAt.get(replica);
        if (misdirectedAt !== undefined && now - misdirectedAt < misdirectedMilliseconds) {
            return true;
        }
        const record = this.records.get(replica) ?? cleanRecord;
        return record.failuresInRow >= failuresToEject && now - record.failedAt < forgetMilliseconds;
    }

    /** Order of preference: lower is better. */
    public costOf(replica: string, slots: number, now: number): number {
        const record = this.records.get(replica) ?? cleanRecord;
        const age = Math.min(1, (now - record.failedAt) / forgetMilliseconds);
        const failing = record.failureShare * (1 - age);
        const busy = this.requestsAt(replica) / Math.max(1, slots);
        return busy + 4 * failing + record.latency / 1_000;
    }

    public keepOnly(replicas: ReadonlySet<string>): void {
        for (const book of [this.records, this.misdirectedAt]) {
            keepOnlyKeys(book, replicas);
        }
    }
}

function mix(before: number, newest: number): number {
    return before * (1 - newestWeight) + newest * newestWeight;
}
