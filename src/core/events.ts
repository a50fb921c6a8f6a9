/** Typed events of the timeline, ordered across all processes by a hybrid logical clock. */
import type { FailureDomainId } from "./failure-domains.js";
import type { InstanceId } from "./instances.js";
import type { ReplicaGroupId, ReplicaGroupState } from "./replica-groups.js";
import type { RequestId } from "./requests.js";
import type { TeamId } from "./teams.js";

/** Hybrid logical time: wall milliseconds, then a counter for events of the same millisecond. */
export interface HybridTime {
    readonly wallMilliseconds: number;
    readonly counter: number;
}

/** Content of an event. Kinds share field names, so that all events can be filtered by one set of fields. */
export type EventBody =
    | {
          readonly kind: "requestReceived";
          readonly request: RequestId;
          readonly team: TeamId;
          readonly target: string;
      }
    | { readonly kind: "requestQueued"; readonly request: RequestId; readonly team: TeamId }
    | {
          readonly kind: "requestRefused";
          readonly request: RequestId;
          readonly team?: TeamId;
          readonly code: string;
          readonly notRun: boolean;
      }
    | {
          readonly kind: "requestDispatched";
          readonly request: RequestId;
          readonly attempt: number;
          readonly group?: ReplicaGroupId;
          readonly epoch?: number;
          readonly instance: InstanceId;
      }
    | { readonly kind: "firstToken"; readonly request: RequestId; readonly attempt: number }
    | {
          readonly kind: "attemptFailed";
          readonly request: RequestId;
          readonly attempt: number;
          readonly code: string;
          readonly instance?: InstanceId;
      }
    | {
          readonly kind: "requestResumed";
          readonly request: RequestId;
          readonly attempt: number;
          readonly offset: number;
      }
    | { readonly kind: "requestCompleted"; readonly request: RequestId; readonly tokens: number }
    | { readonly kind: "claimWritten"; readonly request: RequestId; readonly key: string }
    | {
          readonly kind: "claimSettled";
          readonly request: RequestId;
          readonly key: string;
          readonly outcome: string;
      }
    | { readonly kind: "configurationApplied"; readonly revision: number }
    | { readonly kind: "configurationRejected"; readonly path: string; readonly reason: string }
    | { readonly kind: "leaseAcquired"; readonly lease: string }
    | { readonly kind: "leaseLost"; readonly lease: string; readonly reason: string }
    | {
          readonly kind: "groupChanged";
          readonly group: ReplicaGroupId;
          readonly epoch: number;
          readonly state: ReplicaGroupState;
      }
    | {
          readonly kind: "orderSent";
          readonly group: ReplicaGroupId;
          readonly epoch: number;
          readonly instance: InstanceId;
          readonly order: string;
      }
    | {
          readonly kind: "orderAnswered";
          readonly group: ReplicaGroupId;
          readonly epoch: number;
          readonly instance: InstanceId;
          readonly accepted: boolean;
      }
    | { readonly kind: "memberChanged"; readonly instance: InstanceId; readonly state: string }
    | { readonly kind: "endpointChanged"; readonly instance: InstanceId; readonly state: string }
    | { readonly kind: "lateTick"; readonly gapMilliseconds: number }
    | { readonly kind: "storeFailed"; readonly code: string }
    | {
          readonly kind: "engineAccepted";
          readonly request: RequestId;
          readonly instance: InstanceId;
          readonly epoch: number;
      }
    | { readonly kind: "processStarted" }
    | { readonly kind: "processStopping"; readonly reason: string };

/** An event with its time and the process that recorded it. */
export interface TimelineEvent {
    readonly at: HybridTime;
    readonly process: string;
    readonly failureDomain: FailureDomainId;
    readonly body: EventBody;
}

/** Records an event at the current time. */
export type RecordEvent = (body: EventBody) => void;
