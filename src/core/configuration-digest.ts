/** Entries held by a configuration follower, and their digest. */
import type { ConfigurationDigest } from "./configuration-updates.js";
import type { ConfigurationValue } from "./configuration-values.js";
import { hashText } from "./hashes.js";

/** A valid value that is in force, with its revision. */
export interface StandingValue {
    readonly text: string;
    readonly modRevision: number;
    readonly parsed: ConfigurationValue;
}

/** One path: the value in the store and the value in force. */
export interface HeldEntry {
    readonly text: string;
    readonly modRevision: number;
    readonly createRevision: number;
    /** Why `text` is invalid; undefined if it is valid. */
    readonly reason: string | undefined;
    /** The value in force. */
    readonly standing: StandingValue | undefined;
}

/** Computes the digest of the held entries; equal hashes mean equal entries. */
export function computeConfigurationDigest(
    revision: number,
    entries: ReadonlyMap<string, HeldEntry>,
): ConfigurationDigest {
    const paths = [...entries.keys()].sort();
    const lines = paths.map(path => `${path}@${entries.get(path)!.modRevision}`);
    const invalid = paths.filter(path => entries.get(path)!.reason !== undefined);
    const standing = invalid.map(path => `${path}@${entries.get(path)!.standing?.modRevision ?? 0}`);
    return {
        revision,
        hash: hashText(lines.join("\n")),
        standingHash: hashText(standing.join("\n")),
    };
}
