/** Replica groups: the instances that together hold one copy of a model. */
import type { FabricDomainId } from "./failure-domains.js";
import type { InstanceId } from "./instances.js";

export type ReplicaGroupId = string;

/** Lifecycle state of a group; every change raises its epoch. */
export type ReplicaGroupState = "forming" | "loading" | "serving" | "draining" | "dissolved";

/** A version of a model, as engines load it. */
export interface ModelVersion {
    readonly model: string;
    readonly version: string;
}

/** One replica of a model; `members[0]` is the leader, which takes the group's requests. */
export interface ReplicaGroup {
    readonly id: ReplicaGroupId;
    readonly model: ModelVersion;
    readonly fabricDomain: FabricDomainId;
    readonly members: readonly InstanceId[];
    /** Fencing token, sent with every order and every dispatch. */
    readonly epoch: number;
    readonly state: ReplicaGroupState;
}
