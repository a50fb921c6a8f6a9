/**
 * Which buckets of claims may be deleted. Every entry instance sweeps; a doubled sweep costs a read and harms nothing,
 * since a value is deleted by compare-and-swap, and no entry instance accepts keys of its bucket any more.
 */
import type { KeyWindowOptions } from "./idempotency-keys.js";
import { lastExpiredBucket } from "./idempotency-keys.js";

/** Buckets that a new process looks back at, for those that others did not sweep. */
export const sweepLookbackBuckets = 360;

/** Walks through expired buckets, the oldest first. */
export class ClaimSweep {
    private constructor(
        private readonly options: KeyWindowOptions,
        private readonly isMine: (bucket: number) => boolean,
        private nextBucket: number,
    ) {}

    /** `isMine` divides the buckets among entry instances; each bucket should have two of them. */
    public static create(
        options: KeyWindowOptions,
        isMine: (bucket: number) => boolean,
        wallNow: number,
        lookbackBuckets = sweepLookbackBuckets,
    ): ClaimSweep {
        const first = lastExpiredBucket(options, wallNow) - lookbackBuckets;
        return new ClaimSweep(options, isMine, first);
    }

    /** Returns the bucket to sweep now; undefined if none has expired since. */
    public due(wallNow: number): number | undefined {
        const last = lastExpiredBucket(this.options, wallNow);
        while (this.nextBucket <= last && !this.isMine(this.nextBucket)) {
            this.nextBucket += 1;
        }
        return this.nextBucket <= last ? this.nextBucket : undefined;
    }

    /** Every value of the bucket is gone. */
    public swept(bucket: number): void {
        this.nextBucket = Math.max(this.nextBucket, bucket + 1);
    }

    /** Prefix of the store keys of a bucket. */
    public static prefixOf(bucket: number): string {
        return `claims/${bucket}/`;
    }
}
