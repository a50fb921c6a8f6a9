/**
 * How long a kept connection may stay idle. Answers the load of servers that drop idle connections sooner than they
 * announce, or without announcing it: what is sent next on such a connection is reset, and may have run or not.
 */

/** Idle time of a connection whose server announces none, in milliseconds. */
const defaultMilliseconds = 4_000;
/** Time before a server's announced idle time-out at which a connection is not used any more, in milliseconds. */
const marginMilliseconds = 1_500;
/** Part of the shortest idle time after which a connection was found dropped that others may stay idle. */
const safePart = 0.6;
/** Shortest limit, in milliseconds; below it connections would hardly be kept at all. */
const shortestMilliseconds = 300;
/** Time for which dropped connections are remembered, in milliseconds. */
const rememberedMilliseconds = 60_000;
/** Time in which a second connection must be dropped before the first is believed, in milliseconds. */
const confirmMilliseconds = 10_000;
/** Time for which nothing is learnt after a connection that had hardly been idle was reset, in milliseconds. */
const doubtMilliseconds = 10_000;

export class IdleLimits {
    private limit = Number.POSITIVE_INFINITY;
    private limitUntil = 0;
    private droppedAt = Number.NEGATIVE_INFINITY;
    private doubtUntil = 0;

    private constructor() {}

    public static create(): IdleLimits {
        return new IdleLimits();
    }

    /**
     * Notes a connection that was reset as soon as it was used again, after it had been idle for `idleMilliseconds`. A
     * server that also resets connections which had hardly been idle does not drop them for being idle.
     */
    public noteDropped(idleMilliseconds: number, now: number): void {
        if (idleMilliseconds < shortestMilliseconds) {
            this.doubtUntil = now + doubtMilliseconds;
            this.limitUntil = 0;
            return;
        }
        const isConfirmed = now - this.droppedAt <= confirmMilliseconds;
        this.droppedAt = now;
        if (now < this.doubtUntil || !isConfirmed) {
            return;
        }
        const before = now < this.limitUntil ? this.limit : Number.POSITIVE_INFINITY;
        this.limit = Math.max(shortestMilliseconds, Math.min(before, safePart * idleMilliseconds));
        this.limitUntil = now + rememberedMilliseconds;
    }

    /** Idle time allowed now; `announcedMilliseconds` is the server's own time-out, if it named one. */
    public allowed(announcedMilliseconds: number | undefined, now: number): number {
        const own =
            announcedMilliseconds === undefined
                ? defaultMilliseconds
                : announcedMilliseconds - marginMilliseconds;
        return now < this.limitUntil ? Math.min(own, this.limit) : own;
    }
}
