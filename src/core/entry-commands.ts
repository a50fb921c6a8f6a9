/** Options of an entry process's decisions on completion requests, and the resulting commands. */
import type { EngineDispatch } from "../contracts/engines.js";
import type { Admission } from "./admission.js";
import type { AnswerOptions } from "./answer-options.js";
import type { CrashGuard } from "./crash-guard.js";
import type { Fault } from "./errors.js";
import type { EventBody } from "./events.js";
import type { Instance, InstanceId } from "./instances.js";
import type { ReplicaGroup } from "./replica-groups.js";
import type { RequestId } from "./requests.js";
import type { RetryBudget } from "./retry-budget.js";
import type { Router } from "./router.js";

/** Dependencies and settings of the decisions on completion requests. */
export interface EntryOptions {
    readonly admission: Admission;
    readonly router: Router;
    readonly retries: RetryBudget;
    readonly crashGuard: CrashGuard;
    readonly instanceOf: (id: InstanceId) => Instance | undefined;
    /** Returns a member of the group that is missing past its health deadline, or undefined. */
    readonly missingMember: (group: ReplicaGroup, now: number) => InstanceId | undefined;
    readonly answerOptions: () => Omit<
        AnswerOptions,
        "request" | "attempt" | "fromOffset" | "delivered" | "deadline" | "mayRetry"
    >;
}

/** Where an answer starts for its caller; a returning caller already has part of it. */
export interface AnswerStart {
    readonly fromOffset: number;
    /** Text before `fromOffset`; undefined if the caller did not send it. */
    readonly delivered: string | undefined;
}

/** The stream that a returning caller's resume token names. */
export interface HeldStream {
    readonly group: ReplicaGroup;
    readonly leader: Instance;
    readonly attempt: number;
}

/** What the driver must do. */
export type EntryCommand =
    | { readonly kind: "start" | "resume"; readonly dispatch: EngineDispatch }
    /** Unsubscribes and leaves the stream on the engine. */
    | { readonly kind: "detach"; readonly request: RequestId; readonly attempt: number }
    /** Unsubscribes and ends the stream on the engine. */
    | {
          readonly kind: "cancel";
          readonly request: RequestId;
          readonly attempt: number;
          readonly leader: Instance;
      }
    | {
          readonly kind: "deliver";
          readonly request: RequestId;
          readonly offset: number;
          readonly text: string;
      }
    | {
          readonly kind: "finish";
          readonly request: RequestId;
          readonly reason: "stop" | "length";
          readonly nextOffset: number;
      }
    | { readonly kind: "fail"; readonly request: RequestId; readonly fault: Fault }
    | { readonly kind: "record"; readonly event: EventBody };
