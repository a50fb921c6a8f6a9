/** One claim attempt of one entry instance, with the requests of its key that wait for its outcome. */
import type { RecordedResponse } from "./claim-records.js";
import type { ClaimCommand, ClaimRequest, CurrentTime } from "./claim-rules.js";
import { outcomeUnknownFault, inProgressFault } from "./claim-refusals.js";
import type { Fault } from "./errors.js";
import type { IdempotencyKey } from "./idempotency-keys.js";

/**
 * States of an attempt: claiming -> granted -> sent -> settling; sent -> granted if the call is proved not to have run;
 * granted -> releasing. An attempt abandoned while "claiming" is removed at once. No request is sent from "releasing",
 * so a request that was refused as not run never runs later.
 */
export type AttemptState = "claiming" | "granted" | "sent" | "settling" | "releasing";

/** One attempt to run the call of a key. Only the attempt whose nonce is in the store may send. */
export class ClaimAttempt {
    public state: AttemptState = "claiming";
    /** The response of the service, from its arrival until it is recorded. */
    public answer: RecordedResponse | undefined;
    /** The fault to refuse waiting requests with once the release is written. */
    public refusal: Fault | undefined;
    private isAnswered = false;
    private followers: ClaimRequest[] = [];

    private constructor(
        public readonly request: ClaimRequest,
        public readonly key: IdempotencyKey,
        public readonly storeKey: string,
        public readonly nonce: string,
        /** The request's deadline in wall-clock milliseconds. */
        public readonly wallDeadline: number,
    ) {}

    public static create(
        request: ClaimRequest,
        key: IdempotencyKey,
        storeKey: string,
        nonce: string,
        at: CurrentTime,
    ): ClaimAttempt {
        const wallDeadline = at.wallNow + Math.max(0, request.deadline - at.now);
        return new ClaimAttempt(request, key, storeKey, nonce, wallDeadline);
    }

    /** Adds a request with the same key and call; it waits for this attempt's outcome. */
    public addFollower(request: ClaimRequest): void {
        this.followers.push(request);
    }

    /** Replays the response to all waiting followers; the driver of the attempt's own request already has it. */
    public replayToFollowers(answer: RecordedResponse): readonly ClaimCommand[] {
        this.isAnswered = true;
        const waiting = this.followers;
        this.followers = [];
        return waiting.map(({ request }) => ({ kind: "replay", request, answer }));
    }

    /** Refuses all waiting requests with one fault. */
    public refuseAll(fault: Fault): readonly ClaimCommand[] {
        return this.refuseEach(() => fault);
    }

    /** Refuses each waiting request with the fault that `toFault` returns for it. */
    public refuseEach(toFault: (request: ClaimRequest) => Fault): readonly ClaimCommand[] {
        return this.takeWaiting().map(each => ({
            kind: "refused",
            request: each.request,
            fault: toFault(each),
        }));
    }

    /** Returns all waiting requests and marks them as answered. */
    public takeWaiting(): readonly ClaimRequest[] {
        const waiting = this.isAnswered ? this.followers : [this.request, ...this.followers];
        this.isAnswered = true;
        this.followers = [];
        return waiting;
    }

    /** Refuses each follower whose deadline has passed, and the attempt's own request if it was sent and is late too. */
    public refuseExpired(now: number): readonly ClaimCommand[] {
        const commands: ClaimCommand[] = [];
        if (!this.isAnswered && this.state === "sent" && now >= this.request.deadline) {
            this.isAnswered = true;
            commands.push({ kind: "refused", request: this.request.request, fault: outcomeUnknownFault });
        }
        for (const { request, deadline } of this.followers) {
            if (now >= deadline) {
                commands.push({ kind: "refused", request, fault: inProgressFault(now) });
            }
        }
        this.followers = this.followers.filter(({ deadline }) => now < deadline);
        return commands;
    }
}
