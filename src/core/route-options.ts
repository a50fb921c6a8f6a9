/** What routing is told of groups and requests, and what varies between routers. */
import type { RandomNumber } from "../contracts/clocks.js";
import type { FailureDomainId } from "./failure-domains.js";
import type { ReplicaGroup, ReplicaGroupId } from "./replica-groups.js";
import type { RequestId } from "./requests.js";
import type { ChooseRoute } from "./route-policies.js";
import type { PaceReference } from "./stragglers.js";

/** A replica group and the failure domain that it stands in. */
export interface RoutedGroup {
    readonly group: ReplicaGroup;
    readonly failureDomain: FailureDomainId;
}

/** What routing must know of a request. */
export interface RouteRequest {
    readonly id: RequestId;
    readonly model: string;
    readonly prompt: string;
    readonly promptTokens: number;
    /** True if the caller may have unused capacity only. */
    readonly borrowed: boolean;
    /** Groups that this request must not go to again. */
    readonly excluded?: readonly ReplicaGroupId[];
}

/** What varies between routers. */
export interface RouterOptions {
    /** This entry process's name, the same as in `applyEntries`. */
    readonly entry: string;
    readonly failureDomain: FailureDomainId;
    /** The serving gate; asked again at every choice. */
    readonly isOpen: (group: ReplicaGroup, now: number) => boolean;
    readonly random: RandomNumber;
    /** `chooseByEstimate()` unless given. */
    readonly choose?: ChooseRoute;
    /** False to treat all replicas as equally fast. */
    readonly watchesPace?: boolean;
    /** The pace that replicas are compared with; the median unless given. */
    readonly paceReference?: PaceReference;
    /** False to send to any replica with a free slot, without credits. */
    readonly usesCredits?: boolean;
}
