/**
 * Counts the engine time of the requests that arrive at this process, and of those that it refuses. Covers overload: refused
 * requests never reach a group, so the requests in flight do not show how many groups a model lacks.
 */

/** One of this many identities of refused requests is announced, so that repetitions at other processes are recognized. */
const identitiesPerSample = 8;
/** Time for which a refused request is remembered, in milliseconds: callers repeat it within seconds or give up. */
const refusalMemoryMilliseconds = 10_000;
/** Maximum remembered refusals; the oldest are dropped first. */
const maximumRememberedRefusals = 4_096;
/** Maximum announced identities, which bounds the size of a datagram. */
const maximumSamples = 24;
/** Characters of an announced identity: two of some hundred identities are rarely equal. */
const sampleCharacters = 6;

/** Work of one model since the process started, in milliseconds of a full group. */
export interface ModelWork {
    readonly model: string;
    readonly arrivedMilliseconds: number;
    readonly refusedMilliseconds: number;
}

/** What one process states of the work that arrived at it. */
export interface WorkAnnouncement {
    readonly counters: readonly ModelWork[];
    /** Shortened identities of a sample of the requests that the process refused recently, each once. */
    readonly refusedSamples: readonly string[];
}

export const noWork: WorkAnnouncement = { counters: [], refusedSamples: [] };

export class ArrivedWork {
    private readonly counters = new Map<string, ModelWork>();
    /** Local monotonic milliseconds until which a refusal is remembered, by the identity of the request. */
    private readonly refusedUntil = new Map<string, number>();

    private constructor() {}

    public static create(): ArrivedWork {
        return new ArrivedWork();
    }

    public recordArrival(model: string, groupMilliseconds: number): void {
        const work = this.counterOf(model);
        const arrivedMilliseconds = work.arrivedMilliseconds + groupMilliseconds;
        this.counters.set(model, { ...work, arrivedMilliseconds });
    }

    /** Records a refused request; a repetition of a request that was refused recently does not count again. */
    public recordRefusal(model: string, groupMilliseconds: number, identity: string, now: number): void {
        const isRepetition = now < (this.refusedUntil.get(identity) ?? 0);
        this.refusedUntil.delete(identity);
        this.refusedUntil.set(identity, now + refusalMemoryMilliseconds);
        this.forget(now);
        if (isRepetition) {
            return;
        }
        const work = this.counterOf(model);
        const refusedMilliseconds = work.refusedMilliseconds + groupMilliseconds;
        this.counters.set(model, { ...work, refusedMilliseconds });
    }

    /** What the other processes are told of this one. */
    public announcement(now: number): WorkAnnouncement {
        this.forget(now);
        const samples = [...this.refusedUntil.keys()].filter(isSampled).slice(-maximumSamples);
        return {
            counters: [...this.counters.values()],
            refusedSamples: samples.map(identity => identity.slice(0, sampleCharacters)),
        };
    }

    private counterOf(model: string): ModelWork {
        return this.counters.get(model) ?? { model, arrivedMilliseconds: 0, refusedMilliseconds: 0 };
    }

    /** Drops the refusals whose time is over; they are in the order of their times. */
    private forget(now: number): void {
        for (const [identity, until] of this.refusedUntil) {
            if (now < until && this.refusedUntil.size <= maximumRememberedRefusals) {
                return;
            }
            this.refusedUntil.delete(identity);
        }
    }
}

/** True for the same identities at every process. */
function isSampled(identity: string): boolean {
    return identity.charCodeAt(identity.length - 1) % identitiesPerSample === 0;
}
