/** Safety rules of the configuration follower. Tests replace single rules to show that their checkers detect it. */
import type { ConfigurationDeletion } from "./configuration-updates.js";
import { safeParseConfigurationValue } from "./configuration-values.js";

/** Rules of a ConfigurationFollower. */
export interface ConfigurationRules {
    /** True if a full state at `revision` is older than the held revision. */
    readonly isOlder: (revision: number, held: number) => boolean;
    /** True if a difference that starts at `from` would skip changes. */
    readonly leavesGap: (from: number, held: number) => boolean;
    /** True if a value is later than the known value of its path; an absent path is known to be absent at `held`. */
    readonly isLater: (modRevision: number, known: number | undefined, held: number) => boolean;
    /** Selects the deletions to apply. */
    readonly selectDeletions: (
        deletions: readonly ConfigurationDeletion[],
    ) => readonly ConfigurationDeletion[];
    readonly parse: typeof safeParseConfigurationValue;
}

export const configurationRules: ConfigurationRules = {
    isOlder: (revision, held) => revision < held,
    leavesGap: (from, held) => from > held,
    isLater: (modRevision, known, held) => modRevision > (known ?? held),
    selectDeletions: deletions => deletions,
    parse: safeParseConfigurationValue,
};
