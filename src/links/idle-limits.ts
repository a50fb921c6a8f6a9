/**
 * Limits how long pooled connections stay idle. Some servers drop idle connections earlier than they announce, or without
 * announcing a time-out; the next request on such a connection is reset and may or may not have run.
 */

/** Idle limit of connections whose server announces no time-out. */
const defaultIdleLimitMilliseconds = 4_000;
/** How long before the server's announced idle time-out a connection is no longer used. */
const announcedTimeoutMarginMilliseconds = 1_500;
/** Idle limit as a fraction of the shortest idle time after which a connection was found dropped. */
const safeIdleFraction = 0.6;
/** Lower bound of the limit; with less, connections would hardly be reused. */
const minimumLimitMilliseconds = 300;
/** Time for which a limit learnt from dropped connections applies. */
const limitLifetimeMilliseconds = 60_000;
/** Time within which a second dropped connection must confirm the first before a limit is learnt. */
const confirmationWindowMilliseconds = 10_000;
/** Time for which no limit is learnt after a connection that had hardly been idle was reset. */
const learningPauseMilliseconds = 10_000;

/** Idle limit, learnt from dropped connections. */
export class IdleLimits {
    private limit = Number.POSITIVE_INFINITY;
    private limitUntil = 0;
    private droppedAt = Number.NEGATIVE_INFINITY;
    private learningPausedUntil = 0;

    private constructor() {}

    public static create(): IdleLimits {
        return new IdleLimits();
    }

    /**
     * Records a connection that was reset as soon as it was reused after `idleMilliseconds`. Servers that also reset
     * connections that had hardly been idle do so for another reason, so nothing is learnt from them.
     */
    public recordDropped(idleMilliseconds: number, now: number): void {
        if (idleMilliseconds < minimumLimitMilliseconds) {
            this.learningPausedUntil = now + learningPauseMilliseconds;
            this.limitUntil = 0;
            return;
        }
        const isConfirmed = now - this.droppedAt <= confirmationWindowMilliseconds;
        this.droppedAt = now;
        if (now < this.learningPausedUntil || !isConfirmed) {
            return;
        }
        const previousLimit = now < this.limitUntil ? this.limit : Number.POSITIVE_INFINITY;
        this.limit = Math.max(
            minimumLimitMilliseconds,
            Math.min(previousLimit, safeIdleFraction * idleMilliseconds),
        );
        this.limitUntil = now + limitLifetimeMilliseconds;
    }

    /** Returns the allowed idle time in milliseconds; `announcedMilliseconds` is the server's announced time-out. */
    public allowedIdleMilliseconds(announcedMilliseconds: number | undefined, now: number): number {
        const usual =
            announcedMilliseconds === undefined
                ? defaultIdleLimitMilliseconds
                : announcedMilliseconds - announcedTimeoutMarginMilliseconds;
        return now < this.limitUntil ? Math.min(usual, this.limit) : usual;
    }
}
