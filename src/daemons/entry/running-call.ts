/** State of one running service call, and the rules for retrying its attempts. */
import type { Clock, RandomNumber } from "../../contracts/clocks.js";
import type { SendOutcome, ServiceResponse } from "../../contracts/services.js";
import type { SentRequestOutcome } from "../../core/claim-rules.js";
import type { GuardedRequest } from "../../core/crash-guard.js";
import { toGuardedCall } from "../../core/crash-guard.js";
import type { Fault, FaultCode } from "../../core/errors.js";
import type { Instance, InstanceId } from "../../core/instances.js";
import type { ServiceCall } from "../../core/requests.js";

/** The outcome of a call as its caller sees it. */
export type ServiceOutcome =
    | {
          readonly kind: "answered";
          readonly answer: ServiceResponse;
          /** True if the response is the recorded one of an earlier request with this idempotency key. */
          readonly isReplay: boolean;
          /** True if the body of the recorded response was too long to be stored. */
          readonly bodyOmitted: boolean;
      }
    | { readonly kind: "refused"; readonly fault: Fault };

/** Runs an action at a local monotonic time. */
export type Schedule = (at: number, action: () => void) => void;

/** Schedules actions with the timers of the process. */
export function createSystemSchedule(clock: Clock): Schedule {
    return (at, action) => {
        setTimeout(action, Math.max(0, at - clock.monotonicMilliseconds()));
    };
}

/** Rules of sending; tests replace them by broken ones to prove that the checkers detect these. */
export interface SendRules {
    /** Whether a call may be sent to another instance after an attempt with this outcome. */
    readonly mayRetry: (call: ServiceCall, outcome: "notRun" | "unknown") => boolean;
    /** Whether a call is sent before its claim is granted: true only in a deliberately broken variant of a test. */
    readonly sendsBeforeClaim: boolean;
}

/**
 * The production rules: an idempotent call may be retried after any failure, a call with an idempotency key only if it is
 * proved not to have run, and any other call never.
 */
export const defaultSendRules: SendRules = {
    mayRetry: (call, outcome) => call.idempotent || (call.key !== undefined && outcome === "notRun"),
    sendsBeforeClaim: false,
};

const nonceWordCount = 3;
const nonceWordBits = 32;

/** Returns 96 random bits as a text. */
export function createNonce(random: RandomNumber): string {
    const parts = Array.from({ length: nonceWordCount }, () => Math.floor(random() * 2 ** nonceWordBits));
    return parts.map(part => part.toString(36)).join("-");
}

/** A call from its arrival until its last attempt has ended. */
export class RunningCall {
    private triedInstances: InstanceId[] = [];
    private attemptsInProgress = 0;
    private lastOutcome: SendOutcome | undefined;
    private hasUnknownOutcome = false;
    private hasLostConnection = false;
    private resolve: ((outcome: ServiceOutcome) => void) | undefined;

    /** What the call has in common with its repetitions. */
    public readonly guarded: GuardedRequest;

    private constructor(
        public readonly call: ServiceCall,
        resolve: (outcome: ServiceOutcome) => void,
    ) {
        this.resolve = resolve;
        this.guarded = toGuardedCall(call);
    }

    public static create(call: ServiceCall, resolve: (outcome: ServiceOutcome) => void): RunningCall {
        return new RunningCall(call, resolve);
    }

    /** True if the call runs under a claim. */
    public isClaimed(): boolean {
        return !this.call.idempotent && this.call.key !== undefined;
    }

    public isAnswered(): boolean {
        return this.resolve === undefined;
    }

    public hasAttemptInProgress(): boolean {
        return this.attemptsInProgress > 0;
    }

    public wasSent(): boolean {
        return this.triedInstances.length > 0;
    }

    /** True if an attempt is under way, or ended without proof that it did not run. */
    public mayHaveRun(): boolean {
        return this.hasUnknownOutcome || this.attemptsInProgress > 0;
    }

    /** True if an instance may have crashed in an attempt. */
    public mayHaveCrashed(): boolean {
        return this.hasLostConnection;
    }

    public triedInstanceIds(): readonly InstanceId[] {
        return this.triedInstances;
    }

    public startAttempt(instance: Instance): void {
        this.attemptsInProgress += 1;
        this.triedInstances = [...this.triedInstances, instance.id];
    }

    public endAttempt(outcome: SendOutcome): void {
        this.attemptsInProgress -= 1;
        this.lastOutcome = outcome;
        this.hasUnknownOutcome = this.hasUnknownOutcome || outcome.kind === "unknown";
        if (outcome.kind === "unknown" && outcome.fault.connectionLost === true) {
            this.hasLostConnection = true;
        }
    }

    /** Returns the outcome to record: the response of the last attempt, or unknown if it had none. */
    public outcome(): SentRequestOutcome {
        if (this.lastOutcome?.kind === "answered") {
            return { kind: "answered", answer: this.lastOutcome.answer };
        }
        const cause = this.lastOutcome?.fault;
        const message = `the call may have run: ${cause?.message ?? "no outcome is known"}`;
        const { peer } = cause ?? {};
        return {
            kind: "unknown",
            fault: { code: "outcomeUnknown", message, step: "send", peer, notRun: false },
        };
    }

    /** Resolves the call with a response, unless it is resolved already. */
    public respond(answer: ServiceResponse & { readonly bodyOmitted?: boolean }, isReplay: boolean): void {
        const { status, contentType, body, bodyOmitted = false } = answer;
        this.resolveOnce({ kind: "answered", answer: { status, contentType, body }, isReplay, bodyOmitted });
    }

    /** Resolves the call with a fault, unless it is resolved already. */
    public fail(fault: Fault): void {
        this.resolveOnce({ kind: "refused", fault });
    }

    public refuse(code: FaultCode, message: string, notRun: boolean): void {
        this.fail({ code, message, step: "send", notRun });
    }

    public notRunFault(code: FaultCode, message: string): Fault {
        return { code, message, step: "send", notRun: true };
    }

    private resolveOnce(outcome: ServiceOutcome): void {
        this.resolve?.(outcome);
        this.resolve = undefined;
    }
}
