/** Orders that form and end replica groups, and the interface of the engines that carry them out. */
import type { Result } from "../core/errors.js";
import type { EngineStatus, FleetInstance } from "./fleets.js";
import type { LinkFailure } from "./replica-reach.js";

/** One order to one instance. `open`, `close` and `leave` affect only the named group and epoch. */
export type GroupOrder =
    | {
          readonly kind: "join";
          readonly group: string;
          readonly epoch: number;
          readonly model: string;
          /** Instance ids; the first is the leader. */
          readonly members: readonly string[];
      }
    | { readonly kind: "open" | "close" | "leave"; readonly group: string; readonly epoch: number }
    /** Loads a model's weights onto the host in the background. */
    | { readonly kind: "stage"; readonly model: string };

/**
 * Reply to an order. "holds": the ordered state already existed. "unknown": the order may still be carried out at any
 * time. "absent": the instance has ended.
 */
export type OrderReply =
    | { readonly kind: "begun" }
    | { readonly kind: "holds" }
    | { readonly kind: "refused" | "notSent" | "unknown" | "absent"; readonly message: string };

/** What a call shows of the connections to its instance: bytes arrived, or how it failed. */
export type LinkResult = "heard" | LinkFailure;

/** Calls to engines that form groups by orders. Deadlines are local monotonic milliseconds; the promises never reject. */
export interface GroupEngines {
    readonly report: (instance: FleetInstance, deadline: number) => Promise<Result<EngineStatus>>;
    readonly order: (instance: FleetInstance, order: GroupOrder, deadline: number) => Promise<OrderReply>;
    /** Returns true if an instance of any service responds on a new connection. */
    readonly probe: (instance: FleetInstance, deadline: number) => Promise<boolean>;
}
