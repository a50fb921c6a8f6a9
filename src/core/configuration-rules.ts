/** The safety rules of following the configuration. Tests replace single rules, to see that their checkers notice. */
import type { ConfigurationDeletion } from "./configuration-updates.js";
import { safeParseConfigurationValue } from "./configuration-values.js";

/** Rules of a ConfigurationFollower. */
export interface ConfigurationRules {
    /** True if a whole state at `revision` is older than what is held. */
    readonly isOlder: (revision: number, held: number) => boolean;
    /** True if a difference that starts at `from` would leave changes out. */
    readonly leavesGap: (from: number, held: number) => boolean;
    /** True if a value of a path is later than what is known; an absent path is known to be so at `held`. */
    readonly isNews: (modRevision: number, known: number | undefined, held: number) => boolean;
    /** The deletions that count. */
    readonly deletions: (deletions: readonly ConfigurationDeletion[]) => readonly ConfigurationDeletion[];
    readonly parse: typeof safeParseConfigurationValue;
}

export const configurationRules: ConfigurationRules = {
    isOlder: (revision, held) => revision < held,
    leavesGap: (from, held) => from > held,
    isNews: (modRevision, known, held) => modRevision > (known ?? held),
    deletions: deletions => deletions,
    parse: safeParseConfigurationValue,
};
