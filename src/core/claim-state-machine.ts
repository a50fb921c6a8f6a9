/**
 * At-most-once execution of keyed calls: the claim state machine of one entry instance. A claim is written to the
 * key-value service by compare-and-swap before any byte of a keyed call is sent. Only the attempt whose nonce is in
 * the store may send, and only before its deadline. Safety depends on no lease, owner or clock; the wall clock only
 * limits how long claims are kept.
 */
import type { ReadResponse, SwapOutcome } from "../contracts/key-value-stores.js";
import { ClaimAttempt } from "./claim-attempt.js";
import type { ResolvedOperation } from "./claim-operations.js";
import type { ClaimRecord, RecordedResponse } from "./claim-records.js";
import { toRecordedResponse } from "./claim-records.js";
import * as refusals from "./claim-refusals.js";
import type { ClaimCommand, ClaimOptions, ClaimRequest, ClaimRules, CurrentTime } from "./claim-rules.js";
import type { SentRequestOutcome } from "./claim-rules.js";
import { claimRules } from "./claim-rules.js";
import type { ShardStep } from "./claim-shard.js";
import { ClaimShardSet } from "./claim-shard-set.js";
import type { Fault, Result } from "./errors.js";
import {
    checkKeyWindow,
    claimStoreKey,
    isClaimExpired,
    safeParseIdempotencyKey,
} from "./idempotency-keys.js";
import type { IdempotencyKey } from "./idempotency-keys.js";
import type { RequestId } from "./requests.js";

/** State machine for all claims of one entry instance. */
export class ClaimStateMachine {
    private readonly attempts = new Map<RequestId, ClaimAttempt>();
    private readonly attemptsByKey = new Map<string, ClaimAttempt>();
    private readonly attemptsByNonce = new Map<string, ClaimAttempt>();
    private readonly shards: ClaimShardSet;
    private commands: ClaimCommand[] = [];

    private constructor(
        private readonly options: ClaimOptions,
        private readonly rules: ClaimRules,
    ) {
        this.shards = ClaimShardSet.create({ ...options, ...rules });
    }

    public static create(options: ClaimOptions, rules: ClaimRules = claimRules): ClaimStateMachine {
        return new ClaimStateMachine(options, rules);
    }

    /** True if no request is in progress and no operation is waiting to be written. */
    public isIdle(): boolean {
        return this.attempts.size === 0 && this.shards.isIdle();
    }

    /** Handles a new keyed request. */
    public claim(request: ClaimRequest, at: CurrentTime): readonly ClaimCommand[] {
        const key = safeParseIdempotencyKey(request.key);
        const fault = key.success ? checkKeyWindow(key.data, this.options, at.wallNow) : key.fault;
        if (!key.success || fault !== undefined) {
            this.refuse(request, fault ?? refusals.outcomeUnknownFault);
        } else {
            this.claimKey(request, key.data, at);
        }
        return this.step(at);
    }

    /**
     * Makes the last check before the first byte is sent. Returns undefined if the request may be sent; the driver must
     * then send it in the same turn of the event loop. Otherwise the claim is released and a command refuses the request.
     */
    public startSending(request: RequestId, at: CurrentTime): readonly ClaimCommand[] | undefined {
        const attempt = this.attempts.get(request);
        if (attempt === undefined || attempt.state !== "granted") {
            return [];
        }
        if (
            !this.rules.isInTime(attempt.request.deadline, at.now) ||
            isClaimExpired(attempt.key, this.options, at.wallNow)
        ) {
            return this.release(request, refusals.grantedTooLateFault, at);
        }
        attempt.state = "sent";
        return undefined;
    }

    /** Records that the service or the connection proved that the call did not run; it may be sent again or released. */
    public recordNotRun(request: RequestId): void {
        const attempt = this.attempts.get(request);
        if (attempt?.state === "sent") {
            attempt.state = "granted";
        }
    }

    /** Abandons a granted request. It is refused once its claim is released, or at its deadline. */
    public release(request: RequestId, fault: Fault, at: CurrentTime): readonly ClaimCommand[] {
        const attempt = this.attempts.get(request);
        if (attempt?.state === "granted") {
            this.startRelease(attempt, fault);
            this.commands.push(...(at.now < attempt.request.deadline ? [] : attempt.refuseAll(fault)));
        }
        return this.step(at);
    }

    /** Handles the outcome of a sent request. The caller does not have to wait until the outcome is recorded. */
    public settle(request: RequestId, outcome: SentRequestOutcome, at: CurrentTime): readonly ClaimCommand[] {
        const attempt = this.attempts.get(request);
        if (attempt?.state === "sent") {
            this.settleAttempt(attempt, outcome);
        }
        return this.step(at);
    }

    /** Handles the response to a read. */
    public handleReadResponse(
        storeKey: string,
        result: Result<ReadResponse>,
        at: CurrentTime,
    ): readonly ClaimCommand[] {
        this.handleStoreResponse(storeKey, this.shards.handleReadResponse(storeKey, result, at), at);
        return this.step(at);
    }

    /** Handles the response to a compare-and-swap. */
    public handleSwapOutcome(
        storeKey: string,
        outcome: SwapOutcome,
        at: CurrentTime,
    ): readonly ClaimCommand[] {
        this.handleStoreResponse(storeKey, this.shards.handleSwapOutcome(storeKey, outcome, at), at);
        return this.step(at);
    }

    /** Refuses requests whose deadline has passed, and calls the store again once its backoff has ended. */
    public tick(at: CurrentTime): readonly ClaimCommand[] {
        for (const attempt of [...this.attempts.values()]) {
            this.expireAttempt(attempt, at);
        }
        return this.step(at);
    }

    private claimKey(request: ClaimRequest, key: IdempotencyKey, at: CurrentTime): void {
        const storeKey = claimStoreKey(key, this.options);
        const known = this.shards.lastKnownTable(storeKey).get(key.text);
        const running = this.attemptsByKey.get(key.text);
        if (running !== undefined) {
            this.joinAttempt(request, running);
        } else if (known?.state === "done" || (known !== undefined && this.shards.isUnreachable(at.now))) {
            this.commands.push(refusals.respondFromRecord(request, known, this.rules, at));
        } else if (this.shards.isUnreachable(at.now)) {
            this.refuse(request, refusals.unreachableFault(request, this.shards.retryAt(at.now)));
        } else if (this.shards.unwrittenCount() > this.options.maximumUnwrittenOutcomes) {
            const retryAt = at.now + this.options.storeBackoffMilliseconds(0);
            this.refuse(request, refusals.unwrittenOutcomesFault(request, retryAt));
        } else {
            this.startClaim(request, key, storeKey, at);
        }
    }

    private startClaim(request: ClaimRequest, key: IdempotencyKey, storeKey: string, at: CurrentTime): void {
        const nonce = this.options.createNonce();
        const attempt = ClaimAttempt.create(request, key, storeKey, nonce, at);
        this.attempts.set(request.request, attempt);
        this.attemptsByKey.set(key.text, attempt);
        this.attemptsByNonce.set(nonce, attempt);
        if (!this.rules.requiresClaim) {
            this.grant(attempt);
            return;
        }
        const record = {
            digest: request.digest,
            nonce,
            state: "claimed",
            until: attempt.wallDeadline,
        } as const;
        this.shards.add(storeKey, { kind: "claim", key: key.text, nonce, record });
    }

    private joinAttempt(request: ClaimRequest, running: ClaimAttempt): void {
        if (!this.rules.isSameCall(request.digest, running.request.digest)) {
            this.refuse(request, refusals.keyMismatchFault);
        } else if (running.answer !== undefined) {
            this.replay(request, running.answer);
        } else if (running.state === "settling") {
            this.refuse(request, refusals.outcomeUnknownFault);
        } else {
            running.addFollower(request);
        }
    }

    private grant(attempt: ClaimAttempt): void {
        attempt.state = "granted";
        this.commands.push({ kind: "granted", request: attempt.request.request });
    }

    private settleAttempt(attempt: ClaimAttempt, outcome: SentRequestOutcome): void {
        if (outcome.kind === "answered") {
            attempt.answer = toRecordedResponse(outcome.answer);
            this.commands.push(...attempt.replayToFollowers(outcome.answer));
        } else {
            this.commands.push(...attempt.refuseAll(refusals.outcomeUnknownFault));
        }
        if (outcome.kind === "unknown" && this.rules.stateAfterNoResponse === "released") {
            this.startRelease(attempt, refusals.outcomeUnknownFault);
            return;
        }
        attempt.state = "settling";
        const { nonce, wallDeadline: until, request, answer } = attempt;
        const state = answer === undefined ? "unknown" : "done";
        const record: ClaimRecord = { digest: request.digest, nonce, state, until, answer };
        this.shards.add(attempt.storeKey, { kind: "settle", key: attempt.key.text, nonce, record });
    }

    private startRelease(attempt: ClaimAttempt, fault: Fault): void {
        attempt.state = "releasing";
        attempt.refusal = fault;
        const { storeKey, key, nonce } = attempt;
        this.shards.add(storeKey, { kind: "release", key: key.text, nonce });
    }

    private expireAttempt(attempt: ClaimAttempt, at: CurrentTime): void {
        this.commands.push(...attempt.refuseExpired(at.now));
        const isLate = at.now >= attempt.request.deadline;
        if (attempt.state === "claiming" && isLate) {
            this.abandonClaim(attempt, refusals.deadlinePassedFault);
        } else if (attempt.state === "releasing" && isLate && attempt.refusal !== undefined) {
            this.commands.push(...attempt.refuseAll(attempt.refusal));
        }
        if (attempt.state === "settling" && isClaimExpired(attempt.key, this.options, at.wallNow)) {
            this.removeAttempt(attempt);
        }
    }

    // The claim may be in the store already, or may still be written, so the shard releases it afterwards.
    private abandonClaim(attempt: ClaimAttempt, toFault: (request: ClaimRequest) => Fault): void {
        this.shards.withdraw(attempt.storeKey, attempt.key.text, attempt.nonce);
        this.commands.push(...attempt.refuseEach(toFault));
        this.removeAttempt(attempt);
    }

    private handleStoreResponse(storeKey: string, step: ShardStep, at: CurrentTime): void {
        this.handleResolved(step.resolved, at);
        if (step.fault === undefined) {
            return;
        }
        const retryAt = Math.max(
            this.shards.retryAt(at.now),
            at.now + this.options.storeBackoffMilliseconds(0),
        );
        for (const attempt of [...this.attempts.values()]) {
            if (attempt.storeKey !== storeKey) {
                continue;
            }
            if (attempt.state === "claiming") {
                this.abandonClaim(attempt, request => refusals.unreachableFault(request, retryAt));
            } else if (attempt.state === "releasing" && attempt.refusal !== undefined) {
                this.commands.push(...attempt.refuseAll(attempt.refusal));
            }
        }
    }

    private handleResolved(resolved: readonly ResolvedOperation[], at: CurrentTime): void {
        for (const { operation, outcome } of resolved) {
            const attempt = this.attemptsByNonce.get(operation.nonce);
            if (attempt === undefined) {
                continue;
            }
            if (attempt.state !== "claiming") {
                this.commands.push(...attempt.refuseAll(attempt.refusal ?? refusals.outcomeUnknownFault));
                this.removeAttempt(attempt);
            } else if (outcome.kind === "written") {
                this.grant(attempt);
            } else {
                this.refuseClaim(attempt, outcome.kind === "taken" ? outcome.record : undefined, at);
            }
        }
    }

    private refuseClaim(attempt: ClaimAttempt, record: ClaimRecord | undefined, at: CurrentTime): void {
        this.removeAttempt(attempt);
        if (record === undefined) {
            this.commands.push(...attempt.refuseAll(refusals.claimsFullFault));
            return;
        }
        for (const request of attempt.takeWaiting()) {
            this.commands.push(refusals.respondFromRecord(request, record, this.rules, at));
        }
    }

    private removeAttempt(attempt: ClaimAttempt): void {
        this.attempts.delete(attempt.request.request);
        this.attemptsByNonce.delete(attempt.nonce);
        if (this.attemptsByKey.get(attempt.key.text) === attempt) {
            this.attemptsByKey.delete(attempt.key.text);
        }
    }

    private refuse({ request }: ClaimRequest, fault: Fault): void {
        this.commands.push({ kind: "refused", request, fault });
    }

    private replay({ request }: ClaimRequest, answer: RecordedResponse): void {
        this.commands.push({ kind: "replay", request, answer });
    }

    private step(at: CurrentTime): readonly ClaimCommand[] {
        const { calls, resolved } = this.shards.startCalls(at);
        this.handleResolved(resolved, at);
        const commands = [...this.commands, ...calls];
        this.commands = [];
        return commands;
    }
}
