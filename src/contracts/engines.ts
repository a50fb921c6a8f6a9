/** Model engines: orders to them, and token streams from them. docs/PROTOCOLS.md describes the HTTP protocol. */
import type { Observable } from "rxjs";
import type { EndpointReport } from "../core/endpoints.js";
import type { Fault, Result } from "../core/errors.js";
import type { Instance, InstanceId } from "../core/instances.js";
import type { ModelVersion, ReplicaGroupId } from "../core/replica-groups.js";
import type { CompletionRequest, RequestId } from "../core/requests.js";

/** Kind of an order from a placer to an engine instance. */
export type OrderKind = "load" | "serve" | "drain" | "release";

/** An order to one instance, which ignores it after the deadline. */
export interface EngineOrder {
    readonly kind: OrderKind;
    readonly group: ReplicaGroupId;
    readonly epoch: number;
    readonly model: ModelVersion;
    readonly members: readonly InstanceId[];
    /** Local monotonic milliseconds; transmitted as the remaining time. */
    readonly deadline: number;
}

/** Response to an order. */
export interface OrderResponse {
    readonly accepted: boolean;
    /** The engine's state after the order. */
    readonly report: EndpointReport;
}

/** Target of an attempt, and the token at which it starts. */
export interface EngineDispatch {
    readonly request: CompletionRequest;
    readonly attempt: number;
    readonly group: ReplicaGroupId;
    readonly epoch: number;
    readonly leader: Instance;
    /** Text that earlier attempts delivered; generation continues after it. */
    readonly delivered: string;
    /** Offset of the first token that this attempt generates. */
    readonly fromOffset: number;
}

/** One event of an engine's stream. */
export type EngineEvent =
    | { readonly kind: "accepted" }
    | { readonly kind: "token"; readonly offset: number; readonly text: string }
    | { readonly kind: "finished"; readonly reason: "stop" | "length"; readonly nextOffset: number }
    | { readonly kind: "failed"; readonly fault: Fault };

/** A change of an engine's prefix cache. Events arrive late, and their sequence numbers may have gaps. */
export interface CacheEvent {
    readonly sequence: number;
    readonly kind: "stored" | "evicted" | "cleared";
    /** Hash of the prompt up to and including the block, in hexadecimal. */
    readonly block: string;
}

/** Client of the model engines. Unsubscribing from a stream leaves it resumable; `cancel` ends it. */
export interface Engines {
    readonly probe: (instance: Instance, deadline: number) => Promise<Result<EndpointReport>>;
    readonly order: (instance: Instance, order: EngineOrder) => Promise<Result<OrderResponse>>;
    /** Starts an attempt. Nothing is read from the engine while the latest value of `paused` is true. */
    readonly start: (dispatch: EngineDispatch, paused?: Observable<boolean>) => Observable<EngineEvent>;
    /** Subscribes to a running stream from `dispatch.fromOffset` on. */
    readonly resume: (dispatch: EngineDispatch, paused?: Observable<boolean>) => Observable<EngineEvent>;
    /** Ends a stream, unless a later attempt has subscribed to it in the meantime. */
    readonly cancel: (
        leader: Instance,
        request: RequestId,
        attempt: number,
        deadline: number,
    ) => Promise<Result<undefined>>;
    readonly cacheEvents: (
        leader: Instance,
        after: number,
        deadline: number,
    ) => Promise<Result<readonly CacheEvent[]>>;
}
