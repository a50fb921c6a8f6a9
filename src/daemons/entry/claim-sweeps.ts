/** Deletes claims that no entry instance needs any more from the store, at the store's lowest priority. */
import { EMPTY, defer, exhaustMap, interval } from "rxjs";
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueEntry, KeyValueStore } from "../../contracts/key-value-stores.js";
import { ClaimSweep } from "../../core/claim-sweep.js";
import type { KeyWindowOptions } from "../../core/idempotency-keys.js";
import { defaultKeyWindow } from "../../core/idempotency-keys.js";

const sweepIntervalMilliseconds = 1_000;
const storeTimeoutMilliseconds = 2_000;

/** Dependencies and options of the sweep. */
export interface ClaimSweepsOptions {
    readonly store: Pick<KeyValueStore, "list" | "compareAndSwap">;
    readonly clock: Clock;
    readonly window?: KeyWindowOptions;
    /** Whether this entry instance sweeps a bucket; by default, the instance sweeps all buckets. */
    readonly isMine?: (bucket: number) => boolean;
}

/** Sweeps one expired bucket a second while there are any; returns the function that stops the sweeps. */
export function startClaimSweeps(options: ClaimSweepsOptions): () => void {
    const { clock, window = defaultKeyWindow, isMine = () => true } = options;
    const sweep = ClaimSweep.create(window, isMine, clock.wallMilliseconds());
    const rounds = interval(sweepIntervalMilliseconds).pipe(
        exhaustMap(() => {
            const bucket = sweep.nextExpiredBucket(clock.wallMilliseconds());
            return bucket === undefined ? EMPTY : defer(() => sweepBucket(options, sweep, bucket));
        }),
    );
    const subscription = rounds.subscribe();
    return () => subscription.unsubscribe();
}

/** Deletes the claims of one bucket; if any deletion fails, the bucket stays due for the next sweep. */
export async function sweepBucket(
    { store, clock }: ClaimSweepsOptions,
    sweep: ClaimSweep,
    bucket: number,
): Promise<void> {
    const callOptions = () => ({
        deadline: clock.monotonicMilliseconds() + storeTimeoutMilliseconds,
        priority: "other" as const,
    });
    const values = await store.list(ClaimSweep.bucketPrefix(bucket), callOptions());
    if (!values.success) {
        return;
    }
    const remove = ({ key, modRevision }: KeyValueEntry) =>
        store.compareAndSwap({ key, expectedRevision: modRevision, value: undefined }, callOptions());
    const outcomes = await Promise.all(values.data.entries.map(remove));
    if (outcomes.every(({ kind }) => kind === "swapped")) {
        sweep.markSwept(bucket);
    }
}
