/** One claim attempt of one entry instance, and requests of the same key that wait for it. */
import type { RecordedAnswer } from "./claim-records.js";
import type { ClaimCommand, ClaimRequest, Moment } from "./claim-rules.js";
import { outcomeUnknown, refuseInProgress } from "./claim-refusals.js";
import type { Fault } from "./errors.js";
import type { IdempotencyKey } from "./idempotency-keys.js";

/**
 * Life of an attempt: claiming -> granted -> sent -> settling, or -> releasing from claiming and granted. Nothing is
 * sent from "releasing", so what was refused as not run stays so.
 */
export type AttemptState = "claiming" | "granted" | "sent" | "settling" | "releasing";

/** One attempt to run a key's call. Only the attempt whose nonce is in the store may send. */
export class ClaimAttempt {
    public state: AttemptState = "claiming";
    /** The outcome, once it is known and until it is recorded. */
    public answer: RecordedAnswer | undefined;
    /** The fault to give once the release is written. */
    public refusal: Fault | undefined;
    private isAnswered = false;
    private followers: ClaimRequest[] = [];

    private constructor(
        public readonly request: ClaimRequest,
        public readonly key: IdempotencyKey,
        public readonly storeKey: string,
        public readonly nonce: string,
        /** Wall milliseconds at the request's deadline. */
        public readonly until: number,
    ) {}

    public static create(
        request: ClaimRequest,
        key: IdempotencyKey,
        storeKey: string,
        nonce: string,
        at: Moment,
    ): ClaimAttempt {
        const until = at.wallNow + Math.max(0, request.deadline - at.now);
        return new ClaimAttempt(request, key, storeKey, nonce, until);
    }

    /** Adds a request of the same key and call that waits for this attempt's outcome. */
    public follow(request: ClaimRequest): void {
        this.followers.push(request);
    }

    /** Gives the answer to everyone who still waits; the attempt's own driver has it already. */
    public answerFollowers(answer: RecordedAnswer): readonly ClaimCommand[] {
        this.isAnswered = true;
        const waiting = this.followers;
        this.followers = [];
        return waiting.map(({ request }) => ({ kind: "replay", request, answer }));
    }

    /** Refuses everyone who still waits with one fault. */
    public refuseAll(fault: Fault): readonly ClaimCommand[] {
        return this.refuseEach(() => fault);
    }

    /** Refuses everyone who still waits with a fault of their own. */
    public refuseEach(toFault: (request: ClaimRequest) => Fault): readonly ClaimCommand[] {
        return this.takeWaiting().map(each => ({
            kind: "refused",
            request: each.request,
            fault: toFault(each),
        }));
    }

    /** Returns everyone who still waits, and counts them as answered. */
    public takeWaiting(): readonly ClaimRequest[] {
        const waiting = this.isAnswered ? this.followers : [this.request, ...this.followers];
        this.isAnswered = true;
        this.followers = [];
        return waiting;
    }

    /** Answers those whose deadline has passed while the call is running. */
    public expire(now: number): readonly ClaimCommand[] {
        const commands: ClaimCommand[] = [];
        if (!this.isAnswered && this.state === "sent" && now >= this.request.deadline) {
            this.isAnswered = true;
            commands.push({ kind: "refused", request: this.request.request, fault: outcomeUnknown });
        }
        for (const { request, deadline } of this.followers) {
            if (now >= deadline) {
                commands.push({ kind: "refused", request, fault: refuseInProgress(now) });
            }
        }
        this.followers = this.followers.filter(({ deadline }) => now < deadline);
        return commands;
    }
}
