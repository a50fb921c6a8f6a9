/**
 * Estimates from recent requests: the time until a request that comes now would start, how long answers take, and how
 * many tokens they have.
 */
import type { Caller } from "./requests.js";

/** Time in milliseconds over which the pace of starts is measured. */
const paceMemoryMilliseconds = 5_000;
/** Starts that must be known before an estimate is made. */
const startsNeeded = 8;
/** Subscribers whose own pace is remembered; the least recently started are forgotten first. */
const subscribersRemembered = 1_024;

/** Starts of late, decayed by time. */
interface Pace {
    starts: number;
    weight: number;
    since: number;
    at: number;
}

/** What waits before a new request. */
export interface WaitingCounts {
    readonly queued: number;
    /** Requests of the same subscriber. */
    readonly own: number;
    /** Subscribers with a request that waits. */
    readonly subscribers: number;
}

/** Pace of the starts of one model at one entry. */
export class StartEstimate {
    private pace: Pace | undefined;
    private readonly paces = new Map<string, Pace>();

    private constructor() {}

    public static create(): StartEstimate {
        return new StartEstimate();
    }

    /** Notes a start; `waiting` requests of the same subscriber still wait. */
    public started(caller: Caller, waiting: number, now: number): void {
        this.pace = addStart(this.pace, now);
        const key = `${caller.team}\u0000${caller.subscriber}`;
        const own = this.paces.get(key);
        this.paces.delete(key);
        if (waiting > 0) {
            this.paces.set(key, addStart(own, now));
            this.forgetOldest();
        }
    }

    /**
     * Returns milliseconds until a request starts, 0 if that is not known. Requests of the same subscriber go before
     * it, those of other subscribers only in their turn.
     */
    public waitOf(caller: Caller, waiting: WaitingCounts, now: number): number {
        if (waiting.queued === 0 || this.pace === undefined || this.pace.starts < startsNeeded) {
            return 0;
        }
        const ahead = Math.min(waiting.queued, (waiting.own + 1) * Math.max(1, waiting.subscribers));
        const fairWait = ahead * intervalOf(this.pace, now);
        const own = this.paces.get(`${caller.team}\u0000${caller.subscriber}`);
        if (own === undefined || own.starts < startsNeeded || waiting.own === 0) {
            return fairWait;
        }
        return Math.max(fairWait, (waiting.own + 1) * intervalOf(own, now));
    }

    private forgetOldest(): void {
        if (this.paces.size <= subscribersRemembered) {
            return;
        }
        for (const oldest of this.paces.keys()) {
            this.paces.delete(oldest);
            return;
        }
    }
}

function addStart(pace: Pace | undefined, now: number): Pace {
    if (pace === undefined) {
        return { starts: 1, weight: 1, since: now, at: now };
    }
    const weight = pace.weight * Math.exp((pace.at - now) / paceMemoryMilliseconds) + 1;
    return { starts: pace.starts + 1, weight, since: pace.since, at: now };
}

/** Mean milliseconds between starts. A pace that has been watched only for a while has seen a part of its memory. */
function intervalOf(pace: Pace, now: number): number {
    const weight = pace.weight * Math.exp((pace.at - now) / paceMemoryMilliseconds);
    const seen = paceMemoryMilliseconds * (1 - Math.exp((pace.since - now) / paceMemoryMilliseconds));
    return seen / Math.max(weight, 0.25);
}

/** Weight of one answer in the means. */
const answerWeight = 0.02;

/** Mean length and time of the answers of one model. */
export class AnswerEstimate {
    private answers = 0;
    private tokens = 0;
    private milliseconds = 0;

    private constructor() {}

    public static create(): AnswerEstimate {
        return new AnswerEstimate();
    }

    /** Notes a whole answer. */
    public finished(tokens: number, milliseconds: number): void {
        this.answers += 1;
        const weight = Math.max(answerWeight, 1 / this.answers);
        this.tokens += weight * (tokens - this.tokens);
        this.milliseconds += weight * (milliseconds - this.milliseconds);
    }

    /** Returns the expected tokens of an answer that has `most` at most. */
    public tokensOf(most: number): number {
        return this.answers === 0 ? most : Math.min(most, this.tokens);
    }

    /** Expected milliseconds from start to last token; 0 if not known. */
    public get serviceMilliseconds(): number {
        return this.milliseconds;
    }
}
