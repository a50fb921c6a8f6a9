/** Options and interface of the service calls. */
import type { Clock, RandomNumber } from "../../contracts/clocks.js";
import type { KeyValueStore } from "../../contracts/key-value-stores.js";
import type { SendToService } from "../../contracts/services.js";
import type { CrashGuard } from "../../core/crash-guard.js";
import type { ClaimOptions, ClaimRules } from "../../core/claim-rules.js";
import type { RecordEvent } from "../../core/events.js";
import type { Instance, InstanceId } from "../../core/instances.js";
import type { ServiceCall } from "../../core/requests.js";
import type { RetryBudget } from "../../core/retry-budget.js";
import type { Schedule, SendRules, ServiceOutcome } from "./running-call.js";

/** Chooses an instance for a call other than those in `tried`; undefined if there is none. */
export type RouteCall = (call: ServiceCall, tried: readonly InstanceId[]) => Instance | undefined;

/** Dependencies and options of the service calls. */
export interface ServiceCallsOptions {
    readonly store: KeyValueStore;
    readonly send: SendToService;
    readonly route: RouteCall;
    readonly clock: Clock;
    readonly random: RandomNumber;
    readonly record: RecordEvent;
    readonly claims?: Partial<ClaimOptions>;
    readonly retryBudget?: RetryBudget;
    readonly crashGuard?: CrashGuard;
    /** Runs actions at local monotonic times; tests pass a schedule in virtual time. */
    readonly schedule?: Schedule;
    /** Rules that tests replace by broken ones, to prove that the checkers detect these. */
    readonly rules?: { readonly claims?: ClaimRules; readonly sends?: SendRules };
}

/** Runs service calls. */
export interface ServiceCalls {
    /** Runs one call; the promise never rejects. */
    readonly run: (call: ServiceCall) => Promise<ServiceOutcome>;
    /** Resolves once no call is running and every outcome is recorded or its recording was abandoned. */
    readonly whenIdle: () => Promise<void>;
}
