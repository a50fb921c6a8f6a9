/**
 * Budget of repeated sends in a sliding window: a fixed allowance plus a fraction of the requests of the window. It
 * bounds what a failing service gets on top of its traffic, however the failures cluster.
 */

/** Part of the budget that is spent; the rest covers sends in flight while entry instances come and go. */
const safePart = 0.85;

export interface RetryWindowOptions {
    readonly windowMilliseconds: number;
    /** Repeats allowed per request. */
    readonly fraction: number;
    /** Repeats allowed in a window besides. */
    readonly allowance: number;
}

/** Sliding window over the requests and repeats of one service at one entry instance. */
export class RetryWindow {
    private readonly requests: number[] = [];
    private readonly repeats: number[] = [];

    private constructor(
        private options: RetryWindowOptions,
        private readonly startedAt: number,
    ) {}

    public static create(options: RetryWindowOptions, now: number): RetryWindow {
        return new RetryWindow(options, now);
    }

    /** Changes the bounds; what was spent counts on. */
    public setOptions(options: RetryWindowOptions): void {
        this.options = options;
    }

    public recordRequest(now: number): void {
        this.requests.push(now);
    }

    /** Takes one repeat; false if the budget of the present window is spent. */
    public tryTake(now: number): boolean {
        if (this.available(now) < 1) {
            return false;
        }
        this.repeats.push(now);
        return true;
    }

    /** Repeats that may be made now. */
    public available(now: number): number {
        const start = now - this.options.windowMilliseconds;
        dropBefore(this.requests, start);
        dropBefore(this.repeats, start);
        const { allowance, fraction, windowMilliseconds } = this.options;
        // The process before this one may have spent the window's allowance just before it ended.
        const earned = allowance * Math.min(1, (now - this.startedAt) / windowMilliseconds);
        const budget = earned + fraction * this.requests.length;
        return Math.floor(safePart * budget - this.repeats.length);
    }
}

function dropBefore(times: number[], start: number): void {
    const firstKept = times.findIndex(time => time >= start);
    times.splice(0, firstKept === -1 ? times.length : firstKept);
}
