/** Calls a function periodically, at times that depend on what is due. */
import type { Clock } from "../../contracts/clocks.js";
import type { TickFacts } from "../../serving/tick-schedule.js";
import { minimumTickMilliseconds, tickDelayMilliseconds } from "../../serving/tick-schedule.js";

/** Lateness of a tick beyond which the event loop is taken to have stood still, in milliseconds. */
const maximumLatenessMilliseconds = 50;

export interface TickLoopOptions {
    readonly clock: Clock;
    /** Called at each tick with the time by which it came late, in milliseconds; the next tick follows even if it throws. */
    readonly onTick: (lateMilliseconds: number) => void;
    /** Called after each tick. */
    readonly facts: (now: number) => TickFacts;
}

export class TickLoop {
    private timer: NodeJS.Timeout | undefined;
    /** Local monotonic milliseconds for which the next tick is scheduled. */
    private nextTickAt = 0;
    /** Local monotonic milliseconds of the last tick that was not late. */
    private lastPromptTickAt: number;
    private wasLastTickLate = false;

    private constructor(private readonly options: TickLoopOptions) {
        this.lastPromptTickAt = this.now();
        this.schedule(minimumTickMilliseconds);
    }

    public static create(options: TickLoopOptions): TickLoop {
        return new TickLoop(options);
    }

    /** Makes the next tick follow at once. */
    public bringForward(): void {
        if (this.timer !== undefined) {
            this.schedule(0);
        }
    }

    public stop(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
    }

    /**
     * Local monotonic milliseconds since which an event may have waited to be handled: now, unless the event loop has just
     * stood still.
     */
    public get promptSince(): number {
        const now = this.now();
        const isStandingStill = now - this.nextTickAt > maximumLatenessMilliseconds;
        return this.wasLastTickLate || isStandingStill ? this.lastPromptTickAt : now;
    }

    private schedule(delayMilliseconds: number): void {
        clearTimeout(this.timer);
        this.nextTickAt = this.now() + delayMilliseconds;
        this.timer = setTimeout(() => this.run(), delayMilliseconds);
    }

    private run(): void {
        const lateMilliseconds = Math.max(0, this.now() - this.nextTickAt);
        this.wasLastTickLate = lateMilliseconds > maximumLatenessMilliseconds;
        this.lastPromptTickAt = this.wasLastTickLate ? this.lastPromptTickAt : this.now();
        try {
            this.options.onTick(lateMilliseconds);
        } finally {
            if (this.timer !== undefined) {
                const now = this.now();
                this.schedule(tickDelayMilliseconds(this.options.facts(now), now));
            }
        }
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}
