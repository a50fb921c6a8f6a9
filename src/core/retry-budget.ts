/**
 * Retry budget: limits retries to a fraction of the first attempts. It counts attempts instead of allowing retries per
 * time interval, so that a failing fleet does not cause a retry storm. A request is retried at one layer only: a request
 * that arrived as a retry is not retried.
 */

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
    /** Number of retries allowed per first attempt, for example 0.1. */
    readonly fraction: number;
    /** Number of retries that a process may make at once after little traffic; also the maximum that can be saved up. */
    readonly reserve: number;
}

/** A request to be retried. */
export interface RetryRequest {
    /** Local monotonic milliseconds. */
    readonly deadline: number;
    /** Expected milliseconds until a retry could succeed. */
    readonly expectedMilliseconds: number;
    /** True if another layer already retries this request. */
    readonly isRetry: boolean;
}

/** Default retry budget of an entry instance. */
export const defaultRetryBudget: RetryBudgetOptions = { fraction: 0.1, reserve: 10 };

/** A token bucket that is filled by first attempts and drained by retries. */
export class RetryBudget {
    private tokens: number;

    private constructor(private options: RetryBudgetOptions) {
        this.tokens = options.reserve;
    }

    public static create(options: RetryBudgetOptions = defaultRetryBudget): RetryBudget {
        return new RetryBudget(options);
    }

    /** Changes the fraction of first attempts that may be retried. */
    public applyFraction(fraction: number): void {
        this.options = { ...this.options, fraction };
    }

    /** Counts a first attempt. */
    public recordFirstAttempt(): void {
        this.tokens = Math.min(this.options.reserve, this.tokens + this.options.fraction);
    }

    /** Takes one retry from the budget; returns false if the request must not be retried. */
    public tryTake(request: RetryRequest, now: number): boolean {
        if (request.isRetry || now + request.expectedMilliseconds >= request.deadline) {
            return false;
        }
        if (this.tokens < 1) {
            return false;
        }
        this.tokens -= 1;
        return true;
    }

    /** Number of retries available now. */
    public available(): number {
        return Math.floor(this.tokens);
    }
}
