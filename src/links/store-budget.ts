/**
 * Client-side rate limit of calls to the key-value service: a token bucket that grants waiting calls by priority, then
 * in order of arrival. The bucket itself has no clock; `createBudgetGate` adds the clock and timers.
 */
import type { Clock } from "../contracts/clocks.js";
import type { StorePriority } from "../contracts/key-value-stores.js";

/** Priorities of waiting calls, highest first. */
const priorityOrder: readonly StorePriority[] = ["lease", "claim", "placement", "configuration", "other"];

/** Limits on the calls of one process. */
export interface StoreBudget {
    /** Calls per second that the process may make; each open watch uses up one call per second. */
    readonly callsPerSecond: number;
    /** Number of calls that may be made at once after an idle period. */
    readonly burst: number;
}

/** Default for one process among a few dozen that share the service. */
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
export class StoreTokenBucket {
    private readonly budget: StoreBudget;
    private tokens: number;
    private refilledAt: number;
    private arrivalCount = 0;
    private openWatches = 0;
    private waitingCalls: WaitingCall[] = [];

    private constructor(budget: StoreBudget, now: number) {
        this.budget = budget;
        this.tokens = budget.burst;
        this.refilledAt = now;
    }

    public static create(budget: StoreBudget, now: number): StoreTokenBucket {
        return new StoreTokenBucket(budget, now);
    }

    /** Queues a call; `step` calls `settle` with true if the call may proceed, with false if its deadline passed first. */
    public enqueue(priority: StorePriority, deadline: number, settle: (granted: boolean) => void): void {
        const call = {
            priority: priorityOrder.indexOf(priority),
            arrival: this.arrivalCount,
            deadline,
            settle,
        };
        this.arrivalCount += 1;
        const index = this.waitingCalls.findIndex(other => other.priority > call.priority);
        this.waitingCalls.splice(index === -1 ? this.waitingCalls.length : index, 0, call);
    }

    /** Adjusts the number of open watches; each takes one token per second from the refill. */
    public changeWatchCount(difference: number, now: number): void {
        this.refill(now);
        this.openWatches += difference;
    }

    /** Grants and refuses waiting calls; returns when to step next, or undefined if no call waits. */
    public step(now: number): number | undefined {
        this.refill(now);
        const expired = this.waitingCalls.filter(call => call.deadline <= now);
        this.waitingCalls = this.waitingCalls.filter(call => call.deadline > now);
        const granted = this.waitingCalls.splice(0, Math.floor(this.tokens));
        this.tokens -= granted.length;
        expired.forEach(call => call.settle(false));
        granted.forEach(call => call.settle(true));
        return this.nextStepAt(now);
    }

    private nextStepAt(now: number): number | undefined {
        if (this.waitingCalls.length === 0) {
            return undefined;
        }
        const nextToken = now + ((1 - this.tokens) * millisecondsPerSecond) / this.tokensPerSecond();
        return Math.min(nextToken, ...this.waitingCalls.map(call => call.deadline));
    }

    private refill(now: number): void {
        const gained = ((now - this.refilledAt) * this.tokensPerSecond()) / millisecondsPerSecond;
        this.tokens = Math.min(this.budget.burst, this.tokens + gained);
        this.refilledAt = now;
    }

    /** At least one, so that leases can be renewed however many watches are open. */
    private tokensPerSecond(): number {
        return Math.max(1, this.budget.callsPerSecond - this.openWatches);
    }
}

const millisecondsPerSecond = 1000;

/** Admits calls within the budget. */
export interface StoreBudgetGate {
    /** Resolves to true once the call may proceed, to false if its deadline passed first. */
    readonly acquire: (priority: StorePriority, deadline: number) => Promise<boolean>;
    readonly changeWatchCount: (difference: number) => void;
    readonly close: () => void;
}

export function createStoreBudgetGate(budget: StoreBudget, clock: Clock): StoreBudgetGate {
    const bucket = StoreTokenBucket.create(budget, clock.monotonicMilliseconds());
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
        changeWatchCount: difference => bucket.changeWatchCount(difference, clock.monotonicMilliseconds()),
        close: () => clearTimeout(timer),
    };
}
