/** Options of a MeshState, and the result of its ticks. */
import type { ConfigurationRules } from "./configuration-rules.js";
import { configurationRules } from "./configuration-rules.js";
import type { EvidenceRules } from "./health-table.js";
import { evidenceRules } from "./health-table.js";
import type { MemberBody, MemberId, PeerExchange } from "./mesh-messages.js";
import type { MemberChange } from "./membership.js";

/** Identity of this process, addresses of seeds, start time and random number generator. */
export interface MeshStateOptions {
    readonly id: MemberId;
    readonly body: MemberBody;
    readonly incarnation: number;
    readonly seeds: readonly string[];
    readonly now: number;
    readonly random: () => number;
    readonly rules?: MeshRules;
}

/** Safety rules of the mesh. Tests replace single rules to show that their checkers notice. */
export interface MeshRules {
    readonly configuration: ConfigurationRules;
    readonly evidence: EvidenceRules;
}

export const meshRules: MeshRules = { configuration: configurationRules, evidence: evidenceRules };

/** Result of one tick. */
export interface MeshTick {
    /** Length of a long pause of the process that was detected since the last tick, in milliseconds. */
    readonly pausedMilliseconds: number | undefined;
    readonly memberChanges: readonly MemberChange[];
    readonly exchanges: readonly { readonly address: string; readonly request: PeerExchange }[];
}
