/** Messages that two peers send each other in one exchange. Times are sent as ages in milliseconds. */
import type { ConfigurationDigest, ConfigurationUpdate } from "./configuration-updates.js";
import type { EngineState } from "./endpoints.js";
import type { FailureDomainId } from "./failure-domains.js";
import type { InstanceId } from "./instances.js";
import type { HeartbeatLoad } from "./heartbeat-table.js";
import type { ModelVersion, ReplicaGroupId } from "./replica-groups.js";

/** Name of one process, made of its instance and its daemon. */
export type MemberId = string;

/** What a daemon declares about itself. */
export interface MemberBody {
    readonly address: string;
    readonly failureDomain: FailureDomainId;
    readonly instance: InstanceId;
    readonly role: MemberRole;
    readonly state: MemberDeclaration;
}

/** Daemon that a member runs. */
export type MemberRole = "entry" | "placer";

/** State that a daemon declares: a "leaving" one finishes its work and takes no duties, a "left" one has stopped. */
export type MemberDeclaration = "live" | "leaving" | "left";

/** Contents of an endpoint's probe response beyond the heartbeat. */
export interface EndpointBody {
    readonly state: EngineState;
    readonly group: ReplicaGroupId | undefined;
    readonly epoch: number;
    readonly leaving: boolean;
    readonly slots: number;
    readonly warm: readonly ModelVersion[];
}

/** A record as it is sent to a peer. */
export interface SentRecord<Body> {
    readonly id: string;
    readonly home: FailureDomainId;
    readonly incarnation: number;
    readonly sequence: number;
    readonly failed: boolean;
    readonly body: Body;
    readonly load: HeartbeatLoad;
    readonly ageMilliseconds: number;
}

/** A heartbeat as it is sent to a peer. */
export interface SentHeartbeat {
    readonly key: number;
    readonly sequence: number;
    readonly failed: boolean;
    readonly load: HeartbeatLoad;
    readonly ageMilliseconds: number;
}

/** An instance announced as leaving; `incarnation` is that of its endpoint, 0 if unknown. */
export interface SentLeaving {
    readonly instance: InstanceId;
    readonly incarnation: number;
    readonly ageMilliseconds: number;
}

/** Usage counters or crash evidence of one process; the mesh does not interpret the payload. */
export interface SentUsage {
    readonly process: MemberId;
    readonly home: FailureDomainId;
    readonly incarnation: number;
    readonly sequence: number;
    readonly payload: string;
    readonly ageMilliseconds: number;
}

/** A placement value of the store; `text` is undefined if the key was deleted. */
export interface SentPlacement {
    readonly key: string;
    readonly modRevision: number;
    readonly text: string | undefined;
}

/** Request or response of an exchange; both have the same form. */
export interface PeerExchange {
    readonly sender: MemberId;
    readonly incarnation: number;
    readonly failureDomain: FailureDomainId;
    /** Change number of the sender up to which this message is complete. */
    readonly change: number;
    /** Change number of the receiver up to which the sender has received everything; 0 requests all records. */
    readonly acknowledged: number;
    /** Incarnation of the receiver that `acknowledged` belongs to; 0 if unknown. */
    readonly acknowledgedIncarnation: number;
    readonly members: readonly SentRecord<MemberBody>[];
    readonly endpoints: readonly SentRecord<EndpointBody>[];
    readonly memberPulses: readonly SentHeartbeat[];
    readonly endpointPulses: readonly SentHeartbeat[];
    /** Keys of heartbeats whose bodies the sender does not hold. */
    readonly wanted: readonly number[];
    readonly configuration: ConfigurationDigest;
    /** Time since the sender's configuration was last confirmed to be the store's latest; undefined if never. */
    readonly confirmedAgeMilliseconds: number | undefined;
    readonly configurationUpdate: ConfigurationUpdate | undefined;
    readonly placements: readonly SentPlacement[];
    readonly leavings: readonly SentLeaving[];
    readonly usages: readonly SentUsage[];
    readonly crashEvidence: readonly SentUsage[];
}
