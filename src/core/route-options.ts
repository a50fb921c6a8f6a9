/** Groups, requests and options of routing. */
import type { RandomNumber } from "../contracts/clocks.js";
import type { FailureDomainId } from "./failure-domains.js";
import type { ReplicaGroup, ReplicaGroupId } from "./replica-groups.js";
import type { RequestId } from "./requests.js";
import type { ChooseRoute } from "./route-policies.js";
import type { ReferenceGapFunction } from "./straggler-detector.js";

/** A replica group and its failure domain. */
export interface RoutedGroup {
    readonly group: ReplicaGroup;
    readonly failureDomain: FailureDomainId;
}

/** The properties of a request on which routing depends. */
export interface RouteRequest {
    readonly id: RequestId;
    readonly model: string;
    readonly prompt: string;
    readonly promptTokens: number;
    /** True if the caller exceeds its fair share and so may use spare capacity only. */
    readonly borrowed: boolean;
    /** Groups to which this request must not be dispatched again. */
    readonly excluded?: readonly ReplicaGroupId[];
}

/** Options of a Router. */
export interface RouterOptions {
    /** Name of this entry process, as it appears in `applyEntries`. */
    readonly entry: string;
    readonly failureDomain: FailureDomainId;
    /** The serving gate; checked again at every choice. */
    readonly isOpen: (group: ReplicaGroup, now: number) => boolean;
    readonly random: RandomNumber;
    /** Routing policy; `chooseByEstimate()` by default. */
    readonly chooseRoute?: ChooseRoute;
    /** False to treat all replicas as equally fast. */
    readonly detectsStragglers?: boolean;
    /** Reference pace with which replicas are compared; the median by default. */
    readonly paceReference?: ReferenceGapFunction;
    /** False to dispatch to any replica with a free slot, regardless of credits. */
    readonly usesCredits?: boolean;
}
