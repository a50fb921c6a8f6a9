/**
 * Retry budget over a sliding window: a fixed allowance plus a fraction of the requests in the window. The budget limits
 * the extra traffic to a failing service, however the failures cluster.
 */

/** Usable fraction of the budget; the rest covers retries in flight while the number of entry instances changes. */
const usableBudgetFraction = 0.85;

export interface RetryWindowOptions {
    readonly windowMilliseconds: number;
    /** Retries allowed per request in the window. */
    readonly fraction: number;
    /** Retries allowed per window in addition to this fraction of the requests. */
    readonly allowance: number;
}

/** Sliding window over the requests and retries of one service at one entry instance. */
export class RetryWindow {
    private readonly requestTimes: number[] = [];
    private readonly retryTimes: number[] = [];

    private constructor(
        private options: RetryWindowOptions,
        private readonly startedAt: number,
    ) {}

    public static create(options: RetryWindowOptions, now: number): RetryWindow {
        return new RetryWindow(options, now);
    }

    /** Changes the limits; retries already made still count. */
    public setOptions(options: RetryWindowOptions): void {
        this.options = options;
    }

    public recordRequest(now: number): void {
        this.requestTimes.push(now);
    }

    /** Takes one retry from the budget; returns false if the budget of the current window is exhausted. */
    public tryTakeRetry(now: number): boolean {
        if (this.availableRetries(now) < 1) {
            return false;
        }
        this.retryTimes.push(now);
        return true;
    }

    /** Number of retries that may be made now. */
    public availableRetries(now: number): number {
        const start = now - this.options.windowMilliseconds;
        removeTimesBefore(this.requestTimes, start);
        removeTimesBefore(this.retryTimes, start);
        const { allowance, fraction, windowMilliseconds } = this.options;
        // A previous process of this entry instance may have spent the allowance of the window just before it
        // ended, so the allowance grows over the first window.
        const earnedAllowance = allowance * Math.min(1, (now - this.startedAt) / windowMilliseconds);
        const budget = earnedAllowance + fraction * this.requestTimes.length;
        return Math.floor(usableBudgetFraction * budget - this.retryTimes.length);
    }
}

function removeTimesBefore(times: number[], start: number): void {
    const firstKept = times.findIndex(time => time >= start);
    times.splice(0, firstKept === -1 ? times.length : firstKept);
}
