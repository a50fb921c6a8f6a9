/** What the driver of service calls works with. */
import type { Clock, RandomNumber } from "../../contracts/clocks.js";
import type { KeyValueStore } from "../../contracts/key-value-stores.js";
import type { SendToService } from "../../contracts/services.js";
import type { ClaimOptions, ClaimRules } from "../../core/claim-rules.js";
import type { RecordEvent } from "../../core/events.js";
import type { Instance, InstanceId } from "../../core/instances.js";
import type { ServiceCall } from "../../core/requests.js";
import type { RetryBudget } from "../../core/retries.js";
import type { Schedule, SendRules, ServiceOutcome } from "./claim-calls.js";

/** Finds an instance for a call that is none of `tried`; undefined if there is none. */
export type RouteCall = (call: ServiceCall, tried: readonly InstanceId[]) => Instance | undefined;

/** What the driver works with. */
export interface ServiceCallsOptions {
    readonly store: KeyValueStore;
    readonly send: SendToService;
    readonly route: RouteCall;
    readonly clock: Clock;
    readonly random: RandomNumber;
    readonly record: RecordEvent;
    readonly claims?: Partial<ClaimOptions>;
    readonly retries?: RetryBudget;
    /** Runs an action at a local monotonic time; tests pass virtual time. */
    readonly schedule?: Schedule;
    /** Rules that checkers replace by broken ones. */
    readonly rules?: { readonly claims?: ClaimRules; readonly sends?: SendRules };
}

/** The driver's functions. */
export interface ServiceCalls {
    /** Runs one call; the promise never rejects. */
    readonly run: (call: ServiceCall) => Promise<ServiceOutcome>;
    /** Resolves once no call runs and every outcome is recorded or given up. */
    readonly idle: () => Promise<void>;
}
