/** Inputs of the service call loop. An exception that a store or service throws against its contract becomes a fault. */
import type { Observable } from "rxjs";
import { catchError, defer, map, of } from "rxjs";
import type { KeyValueStore, Swap, SwapOutcome } from "../../contracts/key-value-stores.js";
import type { SendOutcome, SendToService } from "../../contracts/services.js";
import type { ClaimCommand, CurrentTime } from "../../core/claim-rules.js";
import type { ClaimStateMachine } from "../../core/claim-state-machine.js";
import { fail, toFault } from "../../core/errors.js";
import type { Instance } from "../../core/instances.js";
import type { RunningCall } from "./running-call.js";

/** One input of the service call loop. */
export type ServiceCallEvent =
    | { readonly kind: "call"; readonly running: RunningCall }
    | {
          readonly kind: "store";
          readonly apply: (machine: ClaimStateMachine, at: CurrentTime) => readonly ClaimCommand[];
      }
    | {
          readonly kind: "sent";
          readonly running: RunningCall;
          readonly instance: Instance;
          readonly outcome: SendOutcome;
      }
    | { readonly kind: "tick" };

/** Reads the claims stored under a key. */
export function readClaims(
    store: KeyValueStore,
    storeKey: string,
    deadline: number,
): Observable<ServiceCallEvent> {
    return defer(() => store.get(storeKey, { deadline, priority: "claim" })).pipe(
        catchError((thrown: unknown) => of(fail(toFault(thrown, "store")))),
        map(result => ({
            kind: "store",
            apply: (machine, at) => machine.handleReadResponse(storeKey, result, at),
        })),
    );
}

/** Writes the claims stored under a key by compare-and-swap. */
export function swapClaims(store: KeyValueStore, swap: Swap, deadline: number): Observable<ServiceCallEvent> {
    return defer(() => store.compareAndSwap(swap, { deadline, priority: "claim" })).pipe(
        catchError((thrown: unknown) =>
            of<SwapOutcome>({ kind: "ambiguous", fault: toFault(thrown, "store") }),
        ),
        map(outcome => ({
            kind: "store",
            apply: (machine, at) => machine.handleSwapOutcome(swap.key, outcome, at),
        })),
    );
}

/** Sends a call to an instance once, without retries. */
export function sendCall(
    send: SendToService,
    running: RunningCall,
    instance: Instance,
): Observable<ServiceCallEvent> {
    return defer(() => send(running.call, instance)).pipe(
        catchError((thrown: unknown) =>
            of<SendOutcome>({ kind: "unknown", fault: toFault(thrown, "send", instance.id) }),
        ),
        map(outcome => ({ kind: "sent", running, instance, outcome })),
    );
}
