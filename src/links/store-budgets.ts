/**
 * Client-side budget of calls to the key-value service: a token bucket whose waiting calls go by priority, then by
 * arrival. The bucket itself is pure; `createBudgetGate` adds the clock and timers.
 */
import type { Clock } from "../contracts/clocks.js";
import type { StorePriority } from "../contracts/key-value-stores.js";

/** Order in which waiting calls get tokens. */
const priorityOrder: readonly StorePriority[] = ["lease", "claim", "placement", "configuration", "other"];

/** Bounds of one process's calls. */
export interface StoreBudget {
    /** Calls per second that the process may make; a waiting watch takes one per second. */
    readonly callsPerSecond: number;
    /** Calls that may be made at once after a quiet time. */
    readonly burst: number;
}

/** Default for one process among a few dozen. */
export const defaultStoreBudget: StoreBudget = { callsPerSecond: 60, burst: 60 };

/** A call that waits for a token. */
interface WaitingCall {
    readonly priority: number;
    readonly arrival: number;
    /** Local monotonic milliseconds. */
    readonly deadline: number;
    readonly settle: (granted: boolean) => void;
}

/** Token bucket with a priority queue; times are local monotonic milliseconds. */
export class BudgetBucket {
    private readonly budget: StoreBudget;
    private tokens: number;
    private refilledAt: number;
    private arrivals = 0;
    private watches = 0;
    private waiting: WaitingCall[] = [];

    private constructor(budget: StoreBudget, now: number) {
        this.budget = budget;
        this.tokens = budget.burst;
        this.refilledAt = now;
    }

    public static create(budget: StoreBudget, now: number): BudgetBucket {
        return new BudgetBucket(budget, now);
    }

    /** Queues a call; `settle` is called by `step` with true if it may go, false if its deadline passed first. */
    public enqueue(priority: StorePriority, deadline: number, settle: (granted: boolean) => void): void {
        const call = { priority: priorityOrder.indexOf(priority), arrival: this.arrivals, deadline, settle };
        this.arrivals += 1;
        const place = this.waiting.findIndex(other => other.priority > call.priority);
        this.waiting.splice(place === -1 ? this.waiting.length : place, 0, call);
    }

    /** Counts watches that are open; each takes one token per second from the refill. */
    public changeWatches(difference: number, now: number): void {
        this.refill(now);
        this.watches += difference;
    }

    /** Grants and refuses waiting calls; returns the time of the next step, if there is one. */
    public step(now: number): number | undefined {
        this.refill(now);
        const expired = this.waiting.filter(call => call.deadline <= now);
        this.waiting = this.waiting.filter(call => call.deadline > now);
        const granted = this.waiting.splice(0, Math.floor(this.tokens));
        this.tokens -= granted.length;
        expired.forEach(call => call.settle(false));
        granted.forEach(call => call.settle(true));
        return this.nextStepAt(now);
    }

    private nextStepAt(now: number): number | undefined {
        if (this.waiting.length === 0) {
            return undefined;
        }
        const nextToken = now + ((1 - this.tokens) * millisecondsPerSecond) / this.tokensPerSecond();
        return Math.min(nextToken, ...this.waiting.map(call => call.deadline));
    }

    private refill(now: number): void {
        const gained = ((now - this.refilledAt) * this.tokensPerSecond()) / millisecondsPerSecond;
        this.tokens = Math.min(this.budget.burst, this.tokens + gained);
        this.refilledAt = now;
    }

    /** Never below one, so that leases are renewed however many watches are open. */
    private tokensPerSecond(): number {
        return Math.max(1, this.budget.callsPerSecond - this.watches);
    }
}

const millisecondsPerSecond = 1000;

/** Waits for the budget. */
export interface BudgetGate {
    /** Resolves to true once the call may go, to false if its deadline passed first. */
    readonly acquire: (priority: StorePriority, deadline: number) => Promise<boolean>;
    readonly changeWatches: (difference: number) => void;
    readonly close: () => void;
}

export function createBudgetGate(budget: StoreBudget, clock: Clock): BudgetGate {
    const bucket = BudgetBucket.create(budget, clock.monotonicMilliseconds());
    let timer: NodeJS.Timeout | undefined;
    const step = (): void => {
        clearTimeout(timer);
        const now = clock.monotonicMilliseconds();
        const next = bucket.step(now);
        timer = next === undefined ? undefined : setTimeout(step, Math.max(1, Math.ceil(next - now)));
    };
    return {
        acquire: (priority, deadline) =>
            new Promise(resolve => {
                bucket.enqueue(priority, deadline, resolve);
                step();
            }),
        changeWatches: difference => bucket.changeWatches(difference, clock.monotonicMilliseconds()),
        close: () => clearTimeout(timer),
    };
}
