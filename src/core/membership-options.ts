/** What a MeshState is made from, and what one of its ticks brings about. */
import type { ConfigurationRules } from "./configuration-rules.js";
import { configurationRules } from "./configuration-rules.js";
import type { EvidenceRules } from "./health-tables.js";
import { evidenceRules } from "./health-tables.js";
import type { MemberBody, MemberId, PeerExchange } from "./membership-messages.js";
import type { MemberChange } from "./memberships.js";

/** Who this process is, and where its random numbers come from. */
export interface MeshStateOptions {
    readonly id: MemberId;
    readonly body: MemberBody;
    readonly incarnation: number;
    readonly seeds: readonly string[];
    readonly now: number;
    readonly random: () => number;
    readonly rules?: MeshRules;
}

/** The safety rules; tests replace single ones. */
export interface MeshRules {
    readonly configuration: ConfigurationRules;
    readonly evidence: EvidenceRules;
}

export const meshRules: MeshRules = { configuration: configurationRules, evidence: evidenceRules };

/** What one tick brought about. */
export interface MeshTick {
    /** Milliseconds since the last tick, if that was a pause of the process. */
    readonly pausedMilliseconds: number | undefined;
    readonly memberChanges: readonly MemberChange[];
    readonly exchanges: readonly { readonly address: string; readonly request: PeerExchange }[];
}
