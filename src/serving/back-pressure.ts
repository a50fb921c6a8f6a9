/**
 * Replicas that refused a request and stated for how long they want no further one. Covers an overloaded replica that is
 * known to all entry instances: if each tried it again, or all came back at the same moment, their requests would be refused
 * again, and the callers would have lost that time at other replicas.
 */
import { keepOnlyKeys } from "./collections.js";
import type { FleetInstance } from "./fleets.js";

/** Spread of the returns of entry instances after the stated time, as a fraction of it, and its maximum in milliseconds. */
const returnSpreadFraction = 0.25;
const maximumReturnSpreadMilliseconds = 1_000;
/** Time after which the first request after a pause no longer holds back others, in milliseconds. */
const trialTimeoutMilliseconds = 1_000;
/** Retry-After of callers that were refused because only a trial is in flight, in milliseconds. */
const trialRetryAfterMilliseconds = 200;

interface Pause {
    readonly incarnation: number | undefined;
    /** Local monotonic milliseconds before which this process sends no request. */
    readonly until: number;
    /** Local monotonic milliseconds until which the outcome of the first request is awaited; undefined before it. */
    readonly trialUntil: number | undefined;
}

export class BackPressure {
    private readonly pauses = new Map<string, Pause>();

    private constructor(private readonly random: () => number) {}

    /** `random` returns a number in [0, 1). */
    public static create(random: () => number): BackPressure {
        return new BackPressure(random);
    }

    /** Records that a replica wants no request for `milliseconds`. */
    public record({ id, status }: FleetInstance, milliseconds: number, now: number): void {
        const spread = Math.min(maximumReturnSpreadMilliseconds, returnSpreadFraction * milliseconds);
        const until = now + milliseconds + spread * this.random();
        const before = this.pauses.get(id);
        const isSameStart = before !== undefined && before.incarnation === status.incarnation;
        this.pauses.set(id, {
            incarnation: status.incarnation,
            until: isSameStart ? Math.max(before.until, until) : until,
            trialUntil: undefined,
        });
    }

    /** True while a replica wants no request. */
    public isPaused({ id, status }: FleetInstance, now: number): boolean {
        const pause = this.pauses.get(id);
        return pause !== undefined && pause.incarnation === status.incarnation && now < pause.until;
    }

    /** Returns the time in milliseconds after which a replica may get a request; 0 if it may get one now. */
    public waitOf({ id, status }: FleetInstance, now: number): number {
        const pause = this.pauses.get(id);
        if (pause === undefined || pause.incarnation !== status.incarnation) {
            return 0;
        }
        if (now < pause.until) {
            return pause.until - now;
        }
        const isTrialOpen = pause.trialUntil !== undefined && now < pause.trialUntil;
        return isTrialOpen ? trialRetryAfterMilliseconds : 0;
    }

    /** Records that a request is sent; the first one after a pause is a trial that holds back the others. */
    public recordSend(id: string, now: number): void {
        const pause = this.pauses.get(id);
        if (pause !== undefined && now >= pause.until) {
            this.pauses.set(id, { ...pause, trialUntil: now + trialTimeoutMilliseconds });
        }
    }

    /** Records that a replica responded to a request with other than a refusal. */
    public recordAccepted(id: string, now: number): void {
        const pause = this.pauses.get(id);
        if (pause !== undefined && now >= pause.until) {
            this.pauses.delete(id);
        }
    }

    public retainReplicas(replicas: ReadonlySet<string>): void {
        keepOnlyKeys(this.pauses, replicas);
    }
}
