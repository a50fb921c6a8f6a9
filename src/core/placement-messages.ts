/** Events that go into a placer, and commands that come out of it. */
import type { EngineOrder, OrderAnswer } from "../contracts/engines.js";
import type { ReadAnswer, SwapOutcome } from "../contracts/key-value-stores.js";
import type { EndpointHealth, EndpointReport } from "./endpoints.js";
import type { Result } from "./errors.js";
import type { EventBody } from "./events.js";
import type { FabricDomainId } from "./failure-domains.js";
import type { Instance, InstanceId } from "./instances.js";
import type { LeaseCommand, LeaseEvent } from "./placement-leases.js";
import type { PlacementPolicy } from "./placement-policies.js";
import type { DecideRepair } from "./repairs.js";

/** What a placer wants done. A command with `notAfter` must not be carried out at or after that time. */
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

/** What happens to a placer. `sentAt` is the time at which the answered call was sent. */
export type PlacerEvent =
    | LeaseEvent
    | { readonly kind: "tick" }
    | { readonly kind: "instances"; readonly instances: readonly Instance[] }
    | { readonly kind: "health"; readonly health: EndpointHealth }
    | { readonly kind: "share"; readonly share: PlacementShare }
    | { readonly kind: "placementRead"; readonly call: number; readonly result: Result<ReadAnswer> }
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
          readonly result: Result<OrderAnswer>;
      };

/** The fabric domain's part of the policy. */
export interface PlacementShare {
    readonly policy: PlacementPolicy;
    readonly of: (model: string) => { readonly floor: number; readonly demand: number };
}

/** Options of a placer. */
export interface PlacerOptions {
    readonly fabricDomain: FabricDomainId;
    /** Names this process and its start. */
    readonly holder: string;
    readonly leaseSeconds: () => number;
    /** Place of this placer in the order in which placers should take this lease; 0 is the first. */
    readonly rank: () => number;
    /** Returns a text that no other write uses. */
    readonly createNonce: () => string;
    readonly decideRepair: DecideRepair;
}
