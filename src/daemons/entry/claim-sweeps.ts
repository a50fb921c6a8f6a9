/** Deletes values of claims that no entry instance needs any more, at the store's lowest priority. */
import { EMPTY, defer, exhaustMap, interval } from "rxjs";
import type { Clock } from "../../contracts/clocks.js";
import type { KeyValueEntry, KeyValueStore } from "../../contracts/key-value-stores.js";
import { ClaimSweep } from "../../core/claim-sweeps.js";
import type { KeyWindowOptions } from "../../core/idempotency-keys.js";
import { defaultKeyWindow } from "../../core/idempotency-keys.js";

const sweepMilliseconds = 1_000;
const callMilliseconds = 2_000;

/** What the sweep works with. */
export interface ClaimSweepsOptions {
    readonly store: Pick<KeyValueStore, "list" | "compareAndSwap">;
    readonly clock: Clock;
    readonly window?: KeyWindowOptions;
    /** Whether this entry instance sweeps a bucket; without it, it sweeps all. */
    readonly isMine?: (bucket: number) => boolean;
}

/** Sweeps one bucket a second while any has expired; returns the function that stops. */
export function startClaimSweeps(options: ClaimSweepsOptions): () => void {
    const { clock, window = defaultKeyWindow, isMine = () => true } = options;
    const sweep = ClaimSweep.create(window, isMine, clock.wallMilliseconds());
    const rounds = interval(sweepMilliseconds).pipe(
        exhaustMap(() => {
            const bucket = sweep.due(clock.wallMilliseconds());
            return bucket === undefined ? EMPTY : defer(() => sweepBucket(options, sweep, bucket));
        }),
    );
    const subscription = rounds.subscribe();
    return () => subscription.unsubscribe();
}

/** Deletes the values of one bucket; a failure leaves the bucket due. */
export async function sweepBucket(
    { store, clock }: ClaimSweepsOptions,
    sweep: ClaimSweep,
    bucket: number,
): Promise<void> {
    const callOptions = () => ({
        deadline: clock.monotonicMilliseconds() + callMilliseconds,
        priority: "other" as const,
    });
    const values = await store.list(ClaimSweep.prefixOf(bucket), callOptions());
    if (!values.success) {
        return;
    }
    const remove = ({ key, modRevision }: KeyValueEntry) =>
        store.compareAndSwap({ key, expectedRevision: modRevision, value: undefined }, callOptions());
    const outcomes = await Promise.all(values.data.entries.map(remove));
    if (outcomes.every(({ kind }) => kind === "swapped")) {
        sweep.swept(bucket);
    }
}
