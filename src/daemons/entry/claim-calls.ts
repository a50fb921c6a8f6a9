/** One call of a plain service while it runs, and the rules of repeating sends. */
import type { Clock, RandomNumber } from "../../contracts/clocks.js";
import type { SendOutcome, ServiceAnswer } from "../../contracts/services.js";
import type { SentOutcome } from "../../core/claim-rules.js";
import type { Fault, FaultCode } from "../../core/errors.js";
import type { Instance, InstanceId } from "../../core/instances.js";
import type { ServiceCall } from "../../core/requests.js";

/** What the caller is told. */
export type ServiceOutcome =
    | {
          readonly kind: "answered";
          readonly answer: ServiceAnswer;
          /** True if the answer is that of an earlier request with the same key. */
          readonly isReplay: boolean;
          /** True if the recorded answer was too long for its body to be kept. */
          readonly bodyOmitted: boolean;
      }
    | { readonly kind: "refused"; readonly fault: Fault };

/** Runs an action at a local monotonic time. */
export type Schedule = (at: number, action: () => void) => void;

/** The process's timers. */
export function systemSchedule(clock: Clock): Schedule {
    return (at, action) => {
        setTimeout(action, Math.max(0, at - clock.monotonicMilliseconds()));
    };
}

/** Rules of sending, passed in so that the checkers can prove that they notice broken ones. */
export interface SendRules {
    /** Whether a call may be sent to another instance after this outcome of a send. */
    readonly mayRepeat: (call: ServiceCall, outcome: "notRun" | "unknown") => boolean;
    /** Always false but in a checker's broken variant. */
    readonly sendsBeforeClaim: boolean;
}

/** The rules in force: a call without a key is sent once; a keyed one again only if it is proved not to have run. */
export const sendRules: SendRules = {
    mayRepeat: (call, outcome) => call.idempotent || (call.key !== undefined && outcome === "notRun"),
    sendsBeforeClaim: false,
};

const nonceParts = 3;
const noncePartBits = 32;

/** A text of 96 random bits. */
export function createNonce(random: RandomNumber): string {
    const parts = Array.from({ length: nonceParts }, () => Math.floor(random() * 2 ** noncePartBits));
    return parts.map(part => part.toString(36)).join("-");
}

/** A call from its arrival until its last send has ended. */
export class RunningCall {
    private triedInstances: InstanceId[] = [];
    private sends = 0;
    private lastOutcome: SendOutcome | undefined;
    private isUnknown = false;
    private resolve: ((outcome: ServiceOutcome) => void) | undefined;

    private constructor(
        public readonly call: ServiceCall,
        resolve: (outcome: ServiceOutcome) => void,
    ) {
        this.resolve = resolve;
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

    public isSending(): boolean {
        return this.sends > 0;
    }

    public wasSent(): boolean {
        return this.triedInstances.length > 0;
    }

    /** True if a send did not prove that nothing ran. */
    public mayHaveRun(): boolean {
        return this.isUnknown || this.sends > 0;
    }

    public tried(): readonly InstanceId[] {
        return this.triedInstances;
    }

    public startSend(instance: Instance): void {
        this.sends += 1;
        this.triedInstances = [...this.triedInstances, instance.id];
    }

    public endSend(outcome: SendOutcome): void {
        this.sends -= 1;
        this.lastOutcome = outcome;
        this.isUnknown = this.isUnknown || outcome.kind === "unknown";
    }

    /** The outcome of all sends. */
    public outcome(): SentOutcome {
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

    /** Tells the caller the answer, unless it was told something before. */
    public answer(answer: ServiceAnswer & { readonly bodyOmitted?: boolean }, isReplay: boolean): void {
        const { status, contentType, body, bodyOmitted = false } = answer;
        this.tell({ kind: "answered", answer: { status, contentType, body }, isReplay, bodyOmitted });
    }

    /** Tells the caller a fault, unless it was told something before. */
    public fail(fault: Fault): void {
        this.tell({ kind: "refused", fault });
    }

    public refuse(code: FaultCode, message: string, notRun: boolean): void {
        this.fail({ code, message, step: "send", notRun });
    }

    public notRunFault(code: FaultCode, message: string): Fault {
        return { code, message, step: "send", notRun: true };
    }

    private tell(outcome: ServiceOutcome): void {
        this.resolve?.(outcome);
        this.resolve = undefined;
    }
}
