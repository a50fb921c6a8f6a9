/** Events that a placer handles, and commands that it returns. */
import type { EngineOrder, OrderResponse } from "../contracts/engines.js";
import type { ReadResponse, SwapOutcome } from "../contracts/key-value-stores.js";
import type { EndpointHealth, EndpointReport } from "./endpoints.js";
import type { Result } from "./errors.js";
import type { EventBody } from "./events.js";
import type { FabricDomainId } from "./failure-domains.js";
import type { Instance, InstanceId } from "./instances.js";
import type { LeaseCommand, LeaseEvent } from "./placer-lease.js";
import type { PlacementPolicy } from "./placement-policy.js";
import type { DecideRepair } from "./repair-decision.js";

/** Commands of a placer. A command with `notAfter` must not be carried out at or after that time. */
export type PlacerCommand =
    | LeaseCommand
    | { readonly kind: "readPlacement"; readonly call: number }
    | {
          readonly kind: "swapPlacement";
          readonly call: number;
          readonly expectedRevision: number;
          readonly value: string;
          readonly notAfter: number;
      }
    | { readonly kind: "probe"; readonly call: number; readonly instance: Instance }
    | {
          readonly kind: "order";
          readonly call: number;
          readonly instance: Instance;
          readonly order: EngineOrder;
          readonly notAfter: number;
      }
    | { readonly kind: "record"; readonly body: EventBody };

/** Events of a placer. `sentAt` is the time at which the probe or order was sent. */
export type PlacerEvent =
    | LeaseEvent
    | { readonly kind: "tick" }
    | { readonly kind: "instances"; readonly instances: readonly Instance[] }
    | { readonly kind: "health"; readonly health: EndpointHealth }
    | { readonly kind: "share"; readonly share: PlacementShare }
    | { readonly kind: "placementRead"; readonly call: number; readonly result: Result<ReadResponse> }
    | { readonly kind: "placementSwapped"; readonly call: number; readonly outcome: SwapOutcome }
    | {
          readonly kind: "probed";
          readonly call: number;
          readonly instance: InstanceId;
          readonly sentAt: number;
          readonly result: Result<EndpointReport>;
      }
    | {
          readonly kind: "orderAnswered";
          readonly call: number;
          readonly instance: InstanceId;
          readonly sentAt: number;
          readonly result: Result<OrderResponse>;
      };

/** The placement policy, with the fabric domain's share of the floor and demand of each model. */
export interface PlacementShare {
    readonly policy: PlacementPolicy;
    readonly shareOf: (model: string) => { readonly floor: number; readonly demand: number };
}

/** Options of a placer. */
export interface PlacerOptions {
    readonly fabricDomain: FabricDomainId;
    /** Identifies this process and its current run. */
    readonly holder: string;
    readonly leaseSeconds: () => number;
    /** Rank of this placer among the candidates for this lease; 0 is the preferred one. */
    readonly rank: () => number;
    /** Returns a text that no other write uses. */
    readonly createNonce: () => string;
    readonly decideRepair: DecideRepair;
}
