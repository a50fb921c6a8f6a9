/** Input events of an answer log, and its commands to the driver. */
import type { EngineEvent } from "../contracts/engines.js";
import type { Fault } from "./errors.js";
import type { RequestId } from "./requests.js";

/** An event of an engine's stream, with the request and the attempt whose subscription received it. */
export interface AttemptEvent {
    readonly request: RequestId;
    readonly attempt: number;
    readonly event: EngineEvent;
}

/**
 * What the driver must do.
 * - "resume": subscribe to the same engine's stream again, from `fromOffset`, as `attempt`.
 * - "restart": dispatch the prompt and `delivered` to a replica, preferably another one, as `attempt`.
 * - "detach": unsubscribe and leave the stream resumable, since the caller reads too slowly or the stream was lost.
 * - "cancel": unsubscribe and end the engine's stream.
 * - "finish" and "fail" end the log; exactly one of them is issued, once.
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

/** Result of one step. `nextTick` is the time of the next tick; undefined once the log has ended. */
export interface AnswerStep {
    readonly commands: readonly AnswerCommand[];
    readonly nextTick: number | undefined;
}
