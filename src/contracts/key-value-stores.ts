/**
 * Interface of the platform's key-value service: single-key compare-and-swap, leases and watches. Every call has a
 * deadline in local monotonic milliseconds. No function throws.
 */
import type { Observable } from "rxjs";
import type { Fault, Result } from "../core/errors.js";

/** A key with its value. `modRevision` is the store revision of its last change. */
export interface KeyValueEntry {
    readonly key: string;
    readonly value: string;
    readonly modRevision: number;
    /** Store revision at which the key was last created; undefined if the service does not report it. */
    readonly createRevision?: number;
}

/**
 * A position in the store's history. The era rises when the store is restored from an older copy; revisions of different
 * eras cannot be compared. Undefined if the service reports no era.
 */
export interface StorePosition {
    readonly era?: number | undefined;
    readonly revision: number;
}

/** Response to a read, with the store's position at the time of the read. */
export interface ReadResponse extends StorePosition {
    readonly entries: readonly KeyValueEntry[];
}

/** A compare-and-swap: replaces the value of a key if its last change was at `expectedRevision`. */
export interface Swap {
    readonly key: string;
    /** Required current `modRevision`; 0 means that the key must be absent. */
    readonly expectedRevision: number;
    /** The new value; undefined deletes the key. */
    readonly value: string | undefined;
    /** Id of the lease to attach the key to; the store deletes the key when that lease ends. */
    readonly lease?: string;
}

/**
 * Outcome of a compare-and-swap. "ambiguous": the response was lost and the write may have taken effect; read the key
 * back before deciding. "notSent": the write had no effect. A "conflict" after a lost response may be caused by the
 * caller's own earlier write. A swap that spans a restore of the store is "ambiguous".
 */
export type SwapOutcome =
    | ({ readonly kind: "swapped" } & StorePosition)
    | { readonly kind: "conflict"; readonly revision: number; readonly current: KeyValueEntry | undefined }
    | { readonly kind: "ambiguous"; readonly fault: Fault }
    | { readonly kind: "notSent"; readonly fault: Fault };

/** A lease. Its remaining time is counted from before the call that granted or renewed it. */
export interface Lease {
    readonly id: string;
    /** Local monotonic milliseconds. */
    readonly deadline: number;
}

/** Event of a watch. "gap": changes were lost (compaction, restore or a broken stream), and a new snapshot is needed. */
export type WatchEvent =
    | {
          readonly kind: "changes";
          readonly revision: number;
          readonly puts: readonly KeyValueEntry[];
          readonly deletes: readonly string[];
          /** True if another process read the changes from the store. */
          readonly isRelayed?: boolean;
      }
    | { readonly kind: "progress"; readonly revision: number; readonly isRelayed?: boolean }
    | { readonly kind: "gap"; readonly fault: Fault };

/** Priority of a call for the client-side rate budget, from the highest to the lowest. */
export type StorePriority = "lease" | "claim" | "placement" | "configuration" | "other";

/** Options of one call. */
export interface StoreCallOptions {
    readonly deadline: number;
    /** Time by which the response must have begun, in local monotonic milliseconds; the deadline if undefined. */
    readonly responseDeadline?: number | undefined;
    readonly priority: StorePriority;
}

/** Client of the key-value service. */
export interface KeyValueStore {
    /** Reads every key that starts with `prefix`, in key order. */
    readonly list: (prefix: string, options: StoreCallOptions) => Promise<Result<ReadResponse>>;
    /** Reads one key; `entries` is empty if it is absent. */
    readonly get: (key: string, options: StoreCallOptions) => Promise<Result<ReadResponse>>;
    readonly compareAndSwap: (swap: Swap, options: StoreCallOptions) => Promise<SwapOutcome>;
    readonly grantLease: (seconds: number, options: StoreCallOptions) => Promise<Result<Lease>>;
    readonly renewLease: (id: string, options: StoreCallOptions) => Promise<Result<Lease>>;
    readonly revokeLease: (id: string, options: StoreCallOptions) => Promise<Result<undefined>>;
    /**
     * Watches every key that starts with `prefix`, including changes at the revision of `from`. The stream ends after a
     * "gap"; the caller then reads a snapshot and watches again. A restore of the store is a gap.
     */
    readonly watch: (prefix: string, from: StorePosition) => Observable<WatchEvent>;
}
