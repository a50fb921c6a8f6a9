/** Events into an answer log, and its commands to the driver. */
import type { EngineEvent } from "../contracts/engines.js";
import type { Fault } from "./errors.js";
import type { RequestId } from "./requests.js";

/** An engine's event, with the request and the attempt whose subscription gave it. */
export interface AttemptEvent {
    readonly request: RequestId;
    readonly attempt: number;
    readonly event: EngineEvent;
}

/**
 * What the driver must do.
 * - "resume": subscribe again to the same engine's stream, from `fromOffset`, as `attempt`.
 * - "restart": dispatch to a replica (another one if there is one) with prompt and `delivered`, as `attempt`.
 * - "detach": unsubscribe and leave the stream resumable; the caller is behind.
 * - "cancel": unsubscribe and end the engine's stream.
 * - "finish" and "fail" end the log; exactly one of them comes, once.
 */
export type AnswerCommand =
    | { readonly kind: "deliver"; readonly offset: number; readonly text: string }
    | { readonly kind: "resume"; readonly attempt: number; readonly fromOffset: number }
    | {
          readonly kind: "restart";
          readonly attempt: number;
          readonly fromOffset: number;
          readonly delivered: string;
      }
    | { readonly kind: "detach"; readonly attempt: number }
    | { readonly kind: "cancel"; readonly attempt: number }
    | { readonly kind: "finish"; readonly reason: "stop" | "length"; readonly nextOffset: number }
    | { readonly kind: "fail"; readonly fault: Fault };

/** Result of one step; `nextTick` is the time of the next tick, undefined once the log has ended. */
export interface AnswerStep {
    readonly commands: readonly AnswerCommand[];
    readonly nextTick: number | undefined;
}
