/**
 * Decides how fast the pieces of messages are read, by token buckets. Covers senders whose messages have pieces without end, such
 * as chunks of one byte or events that repeat: each piece costs work, which the messages of others would wait for. Each message
 * may have some pieces at any time, and further ones as long as all messages together leave room for them.
 */

/** Pieces that one message may have at once, and further ones per second, whatever other messages have. */
const ownBurst = 2_048;
const ownPiecesPerSecond = 500;
/** Further pieces that all messages of a process together may have at once, and per second. */
const sharedBurst = 20_000;
const sharedPiecesPerSecond = 20_000;
/** Longest deferral of reading, in milliseconds; then the buckets are looked at again. */
const maximumDeferralMilliseconds = 250;

class TokenBucket {
    private tokens: number;
    /** Local monotonic milliseconds up to which tokens were added. */
    private filledAt: number;

    public constructor(
        private readonly capacity: number,
        private readonly tokensPerSecond: number,
        now: number,
    ) {
        this.tokens = capacity;
        this.filledAt = now;
    }

    /** Takes up to `wanted` tokens and returns their number. */
    public take(wanted: number, now: number): number {
        const added = (Math.max(0, now - this.filledAt) / 1_000) * this.tokensPerSecond;
        this.tokens = Math.min(this.capacity, this.tokens + added);
        this.filledAt = now;
        const taken = Math.min(wanted, this.tokens);
        this.tokens -= taken;
        return taken;
    }
}

/** The part of the pace that all messages of a process share. */
export class SharedReadPace {
    private readonly bucket: TokenBucket;

    private constructor(now: number) {
        this.bucket = new TokenBucket(sharedBurst, sharedPiecesPerSecond, now);
    }

    /** `now`: local monotonic milliseconds. */
    public static create(now: number): SharedReadPace {
        return new SharedReadPace(now);
    }

    public take(wanted: number, now: number): number {
        return this.bucket.take(wanted, now);
    }
}

/** The pace of one message, or of all messages on one connection. */
export class ReadPace {
    private readonly own: TokenBucket;
    /** Pieces that were read without tokens. */
    private debt = 0;

    private constructor(
        private readonly shared: SharedReadPace,
        now: number,
    ) {
        this.own = new TokenBucket(ownBurst, ownPiecesPerSecond, now);
    }

    /** `now`: local monotonic milliseconds. */
    public static create(shared: SharedReadPace, now: number): ReadPace {
        return new ReadPace(shared, now);
    }

    /** Records pieces that have been read. */
    public record(pieces: number): void {
        this.debt += pieces;
    }

    /** Returns for how many milliseconds reading is to be deferred, at least; 0 if it may go on. */
    public deferralMilliseconds(now: number): number {
        this.debt -= this.own.take(this.debt, now);
        this.debt -= this.shared.take(this.debt, now);
        return this.debt <= 0
            ? 0
            : Math.min(maximumDeferralMilliseconds, (this.debt / ownPiecesPerSecond) * 1_000);
    }
}
