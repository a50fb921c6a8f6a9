/** What processes tell each other of the configuration: digests, and updates between two store revisions. */
import type { KeyValueEntry } from "../contracts/key-value-stores.js";

/** The value of a path as the store holds it. */
export interface ConfigurationEntry {
    readonly path: string;
    readonly text: string;
    readonly modRevision: number;
    /** Store revision at which the path was last created; 0 if unknown. */
    readonly createRevision: number;
    /** If `text` is invalid: the last valid value before it, which stays in force. */
    readonly standing?: { readonly text: string; readonly modRevision: number };
}

/** A deleted path; `revision` is the store revision by which it was gone. */
export interface ConfigurationDeletion {
    readonly path: string;
    readonly revision: number;
}

/** Short form of what a process holds; equal hashes mean equal entries. */
export interface ConfigurationDigest {
    /** Store revision up to which the process knows every change; 0 if it knows nothing yet. */
    readonly revision: number;
    /** Hash over the paths and their modRevisions. */
    readonly hash: string;
    /** Hash over the values that stand in for invalid ones. */
    readonly standingHash: string;
}

/**
 * Everything that a holder of revision `from` or later needs to reach `revision`. `from` 0 means that the update holds
 * the whole configuration.
 */
export interface ConfigurationUpdate {
    readonly from: number;
    readonly revision: number;
    readonly entries: readonly ConfigurationEntry[];
    readonly deletions: readonly ConfigurationDeletion[];
}

/** A value that was not accepted; the last valid one of its path stays in force. */
export interface ConfigurationRejection {
    readonly path: string;
    readonly revision: number;
    readonly reason: string;
    /** Revision of the value in force instead; undefined if the default is. */
    readonly standingRevision: number | undefined;
}

/** What one application changed. */
export interface ConfigurationChange {
    /** True if some path was put or deleted, or a value in force is another one now. */
    readonly changed: boolean;
    /** Values that were newly rejected. */
    readonly rejections: readonly ConfigurationRejection[];
    /** True if the input was older than what is held, or contradicted it, and was dropped whole. */
    readonly stale: boolean;
}

/** Turns a key of the store into an entry. */
export function toConfigurationEntry(entry: KeyValueEntry): ConfigurationEntry {
    return {
        path: entry.key,
        text: entry.value,
        modRevision: entry.modRevision,
        createRevision: entry.createRevision ?? 0,
    };
}
