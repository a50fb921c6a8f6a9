/**
 * Budget of retries: a fraction of the traffic, counted and not timed, so that a fleet that fails does not answer with
 * a storm of retries. One request is retried at one layer only: a request that came as a retry is not retried again.
 */

/** Settings of a retry budget. */
export interface RetryBudgetOptions {
    /** Retries allowed per first attempt, for example 0.1. */
    readonly fraction: number;
    /** Retries that a quiet process may make at once; also the most that is ever saved up. */
    readonly reserve: number;
}

/** What is known of the request that would be retried. */
export interface RetryRequest {
    /** Local monotonic milliseconds. */
    readonly deadline: number;
    /** Expected milliseconds until a retry could succeed. */
    readonly expectedMilliseconds: number;
    /** True if another layer retries this request already. */
    readonly isRetry: boolean;
}

/** Default budget of an entry instance. */
export const defaultRetryBudget: RetryBudgetOptions = { fraction: 0.1, reserve: 10 };

/** A token bucket that first attempts fill and retries empty. */
export class RetryBudget {
    private tokens: number;

    private constructor(private options: RetryBudgetOptions) {
        this.tokens = options.reserve;
    }

    public static create(options: RetryBudgetOptions = defaultRetryBudget): RetryBudget {
        return new RetryBudget(options);
    }

    /** Puts another fraction of the traffic in force. */
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

    /** Retries that may be made now. */
    public available(): number {
        return Math.floor(this.tokens);
    }
}
