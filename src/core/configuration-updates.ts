/** Configuration data that processes exchange: digests, and updates between two store revisions. */
import type { KeyValueEntry } from "../contracts/key-value-stores.js";

/** The value of a path as the store holds it. */
export interface ConfigurationEntry {
    readonly path: string;
    readonly text: string;
    readonly modRevision: number;
    /** Store revision at which the path was last created; 0 if unknown. */
    readonly createRevision: number;
    /** If `text` is invalid: the last valid value, which stays in force. */
    readonly standing?: { readonly text: string; readonly modRevision: number };
}

/** A deleted path; `revision` is a store revision at which the path was absent. */
export interface ConfigurationDeletion {
    readonly path: string;
    readonly revision: number;
}

/** Digest of the entries that a process holds; equal hashes mean equal entries. */
export interface ConfigurationDigest {
    /** Store revision up to which the process knows every change; 0 before the first snapshot. */
    readonly revision: number;
    /** Hash of the paths and their `modRevision`s. */
    readonly hash: string;
    /** Hash of the revisions of the valid values in force in place of invalid ones. */
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

/** A rejected value; the last valid value of its path stays in force. */
export interface ConfigurationRejection {
    readonly path: string;
    readonly revision: number;
    readonly reason: string;
    /** Revision of the value in force instead; undefined if the default is in force. */
    readonly standingRevision: number | undefined;
}

/** Effect of applying one input. */
export interface ConfigurationChange {
    /** True if a path was put or deleted, or a value in force was replaced. */
    readonly changed: boolean;
    /** Newly rejected values. */
    readonly rejections: readonly ConfigurationRejection[];
    /** True if the input was older than the held state, contradicted it or left a gap, and was dropped whole. */
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
