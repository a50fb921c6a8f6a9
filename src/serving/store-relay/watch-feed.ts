/** When a watch of the store makes its next call, and changes that another process has read from the store instead. */
import type { Fault } from "../../core/errors.js";
import type { KeyValueEntry, StorePosition, WatchEvent } from "../../contracts/key-value-stores.js";

/** An event of a watch that leaves its position intact. */
export type ProgressEvent = Exclude<WatchEvent, { readonly kind: "gap" }>;

/** A watch as its feed sees it. */
export interface FedWatch {
    /** Position up to which the watch knows all changes. */
    readonly position: () => StorePosition;
    /** Called with an event that continues from the position, also while the watch waits for the store. */
    readonly onRelayed: (event: ProgressEvent) => void;
}

/** Paces one watch at a time. */
export interface WatchFeed {
    /** Begins to feed a watch, in the place of the one before; returns a function that ends it. */
    readonly begin: (watch: FedWatch) => () => void;
    /** Resolves when the watch is to call the store; the value is how long the store may wait for changes, in milliseconds. */
    readonly nextCall: () => Promise<number>;
    /** Records entries that were read apart from the watch. */
    readonly recordEntries: (era: number | undefined, entries: readonly KeyValueEntry[]) => void;
    /** Records the response to the latest call, which continued from `after`. */
    readonly recordResponse: (after: StorePosition, event: ProgressEvent) => void;
    /**
     * Records that the latest call failed. Returns true if the watch is to keep its position; `isUnanswered` if the store may
     * still have the history that follows it.
     */
    readonly recordFault: (fault: Fault, isUnanswered: boolean) => boolean;
}

/** A feed without relayed changes: a call at once, then one after each pause. */
export function createPausingFeed(
    pauseMilliseconds: () => number,
    waitMilliseconds: () => number,
): WatchFeed {
    let isNew = true;
    return {
        begin: () => {
            isNew = true;
            return () => undefined;
        },
        nextCall: () =>
            new Promise(resolve => {
                const call = (): void => resolve(waitMilliseconds());
                if (isNew) {
                    isNew = false;
                    call();
                } else {
                    setTimeout(call, pauseMilliseconds()).unref();
                }
            }),
        recordEntries: () => undefined,
        recordResponse: () => undefined,
        recordFault: () => false,
    };
}
