/**
 * Determines which expired buckets of claims to delete. Every entry instance sweeps. A duplicate sweep only costs a
 * read: values are deleted by compare-and-swap, and no entry instance accepts keys of an expired bucket any more.
 */
import type { KeyWindowOptions } from "./idempotency-keys.js";
import { lastExpiredBucket } from "./idempotency-keys.js";

/** Number of past buckets that a new process checks for values that no other process swept. */
export const sweepLookbackBuckets = 360;

/** Iterates over expired buckets, the oldest first. */
export class ClaimSweep {
    private constructor(
        private readonly options: KeyWindowOptions,
        private readonly isAssigned: (bucket: number) => boolean,
        private nextBucket: number,
    ) {}

    /** `isAssigned` assigns buckets to entry instances; each bucket should be assigned to two of them. */
    public static create(
        options: KeyWindowOptions,
        isAssigned: (bucket: number) => boolean,
        wallNow: number,
        lookbackBuckets = sweepLookbackBuckets,
    ): ClaimSweep {
        const first = lastExpiredBucket(options, wallNow) - lookbackBuckets;
        return new ClaimSweep(options, isAssigned, first);
    }

    /** Returns the next bucket to sweep; undefined if no further bucket has expired. */
    public nextExpiredBucket(wallNow: number): number | undefined {
        const last = lastExpiredBucket(this.options, wallNow);
        while (this.nextBucket <= last && !this.isAssigned(this.nextBucket)) {
            this.nextBucket += 1;
        }
        return this.nextBucket <= last ? this.nextBucket : undefined;
    }

    /** Records that every value of the bucket was deleted. */
    public markSwept(bucket: number): void {
        this.nextBucket = Math.max(this.nextBucket, bucket + 1);
    }

    /** Returns the prefix of a bucket's store keys. */
    public static bucketPrefix(bucket: number): string {
        return `claims/${bucket}/`;
    }
}
