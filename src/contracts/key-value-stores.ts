/**
 * The platform's key-value service, as the rest of the system sees it: single-key compare-and-swap, leases and
 * watches. Every call has a deadline in local monotonic milliseconds. No function throws.
 */
import type { Observable } from "rxjs";
import type { Fault, Result } from "../core/errors.js";

/** One key with its value; `modRevision` is the store revision of its last change. */
export interface KeyValueEntry {
    readonly key: string;
    readonly value: string;
    readonly modRevision: number;
    /** Store revision at which the key was last created; undefined if the service does not say. */
    readonly createRevision?: number;
}

/** A read; `revision` is the store's revision at the time of the read. */
export interface ReadAnswer {
    readonly revision: number;
    readonly entries: readonly KeyValueEntry[];
}

/** Replaces one key if its last change was `expectedRevision`. */
export interface Swap {
    readonly key: string;
    /** The modRevision that must still hold; 0 means that the key must be absent. */
    readonly expectedRevision: number;
    /** The new value; undefined deletes the key. */
    readonly value: string | undefined;
    /** The lease that the key goes away with. */
    readonly lease?: string;
}

/**
 * Outcome of a swap. "ambiguous": the answer was lost and the write may have taken effect; read back before
 * deciding. "notSent": the write certainly had no effect. A "conflict" after a lost answer may be one's own write.
 */
export type SwapOutcome =
    | { readonly kind: "swapped"; readonly revision: number }
    | { readonly kind: "conflict"; readonly revision: number; readonly current: KeyValueEntry | undefined }
    | { readonly kind: "ambiguous"; readonly fault: Fault }
    | { readonly kind: "notSent"; readonly fault: Fault };

/** A lease; it counts from before the call that granted or renewed it. */
export interface Lease {
    readonly id: string;
    /** Local monotonic milliseconds. */
    readonly deadline: number;
}

/** What a watch says. "gap": changes were lost (compaction or a broken stream); take a new snapshot. */
export type WatchEvent =
    | {
          readonly kind: "changes";
          readonly revision: number;
          readonly puts: readonly KeyValueEntry[];
          readonly deletes: readonly string[];
      }
    | { readonly kind: "progress"; readonly revision: number }
    | { readonly kind: "gap"; readonly fault: Fault };

/** Order in which calls get the client-side budget; the first goes first. */
export type StorePriority = "lease" | "claim" | "placement" | "configuration" | "other";

/** Options of one call. */
export interface StoreCallOptions {
    readonly deadline: number;
    readonly priority: StorePriority;
}

/** The functions of the key-value service. */
export interface KeyValueStore {
    /** Reads every key that starts with `prefix`, in key order. */
    readonly list: (prefix: string, options: StoreCallOptions) => Promise<Result<ReadAnswer>>;
    /** Reads one key; `entries` is empty if it is absent. */
    readonly get: (key: string, options: StoreCallOptions) => Promise<Result<ReadAnswer>>;
    readonly compareAndSwap: (swap: Swap, options: StoreCallOptions) => Promise<SwapOutcome>;
    readonly grantLease: (seconds: number, options: StoreCallOptions) => Promise<Result<Lease>>;
    readonly renewLease: (id: string, options: StoreCallOptions) => Promise<Result<Lease>>;
    readonly revokeLease: (id: string, options: StoreCallOptions) => Promise<Result<undefined>>;
    /**
     * Watches every key that starts with `prefix` from `fromRevision` on. The stream ends after a "gap"; the
     * caller then reads a snapshot and watches again.
     */
    readonly watch: (prefix: string, fromRevision: number) => Observable<WatchEvent>;
}
