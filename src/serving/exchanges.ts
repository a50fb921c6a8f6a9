/**
 * Proxies one caller request from its arrival to the last byte of the response: tries replicas one after the other and
 * relays the replica's response unchanged. An event stream may be resumed at another replica within one response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AttemptOutcome } from "./attempt-decisions.js";
import { decideNextStep } from "./attempt-decisions.js";
import { CallerAnswer } from "./caller-answers.js";
import { isRepeatable } from "./configurations.js";
import type { DispatchTarget } from "./dispatchers.js";
import type { StreamEvent } from "./event-splitters.js";
import type { Attempt } from "./exchange-attempts.js";
import { createAttempt, isGood } from "./exchange-attempts.js";
import type { AdmittedRequest, ExchangeContext } from "./exchange-contexts.js";
import { describeRequest, reportAttempt, reportEnd } from "./exchange-reports.js";
import { attemptPatience, furtherPatience, progressMilliseconds } from "./slow-attempts.js";
import type { AnswerHead } from "./wire.js";

/**
 * Maximum size of a response that is buffered until it is complete, in bytes; longer responses are relayed as they
 * arrive.
 */
const heldAnswerBytes = 256 * 1024;
/** Maximum time for which an interrupted stream waits for a replica to resume at, in milliseconds. */
const resumeWaitMilliseconds = 1_800;
/** Interval between two checks for a replica at which an interrupted stream can resume, in milliseconds. */
const resumePauseMilliseconds = 40;
/** Default Retry-After of a refused request, in milliseconds, before jitter. */
const comeBackMilliseconds = 400;
/**
 * Retry-After while no replica can take the request, in milliseconds: about the time to form a group from hosts
 * with the weights.
 */
const reformMilliseconds = 1_500;
/** Maximum Retry-After, as a fraction of the time that remains until the caller's deadline. */
const comeBackPart = 1 / 3;
/**
 * A caller is assumed to wait for the first event of a stream for the longer of this time, in milliseconds, and this
 * multiple of the latency objective.
 */
const shortestPatienceMilliseconds = 2_000;
const patienceObjectives = 4;
/** HTTP status of a replica that is not the intended recipient of the request (421 Misdirected Request). */
const misdirectedStatus = 421;
/** Rank of the requests that a replica handles last. */
const lastRank = 9;

export class Exchange {
    private attempt: Attempt | undefined;
    private readonly tried = new Set<string>();
    private sends = 0;
    private runs = 0;
    private mayHaveRun = false;
    private lastEventId: number | undefined;
    private lastTarget: DispatchTarget | undefined;
    private lastFailure: { readonly head: AnswerHead; readonly body: Buffer } | undefined;
    private isSettled = false;
    private resumeUntil: number | undefined;
    private readonly deadlineTimer: NodeJS.Timeout;
    private waitTimer: NodeJS.Timeout | undefined;

    private constructor(
        private readonly context: ExchangeContext,
        private readonly admitted: AdmittedRequest,
        private readonly answer: CallerAnswer,
        response: ServerResponse,
    ) {
        this.lastEventId = admitted.request.lastEventId;
        const remaining = Math.max(0, admitted.deadline - this.now());
        this.deadlineTimer = setTimeout(() => this.giveUp("the deadline has passed"), remaining);
        response.once("close", () => this.handleCallerGone());
        response.on("drain", () => this.attempt?.call?.resume());
    }

    /** Starts to serve a request and writes the outcome to `response`. */
    public static start(
        context: ExchangeContext,
        admitted: AdmittedRequest,
        response: ServerResponse,
    ): Exchange {
        const exchange = new Exchange(
            context,
            admitted,
            CallerAnswer.create(response, context.isStopping),
            response,
        );
        context.retriesOf(admitted.service).recordRequest(exchange.now());
        exchange.next();
        return exchange;
    }

    /** Key of the replica group that handles the current attempt. */
    public get group(): string | undefined {
        return this.attempt?.target.group;
    }

    /** Leaves the stalled group of the current attempt and retries elsewhere if the request is a resumable stream. */
    public leaveGroup(): void {
        const { attempt } = this;
        if (attempt === undefined || this.isSettled) {
            return;
        }
        const { route } = this.admitted;
        if (route.repeatability === "stream" && isRepeatable(route)) {
            attempt.call?.cancel();
            // The group's leader drops a stream that has not begun when its connection closes, so only a begun one
            // counts as run.
            this.endAttempt(attempt, "lost", "the replica group is stalled", attempt.hasEvents);
        }
    }

    /** Ends the request; the response states whether a replica may have run it. */
    public giveUp(reason: string): void {
        if (this.isSettled) {
            return;
        }
        const wasSent = this.dropAttempt();
        if (this.answer.hasBegun) {
            this.cut(reason);
            return;
        }
        this.answerOwn(wasSent || this.mayHaveRun ? 504 : 503, "expired", reason);
    }

    private now(): number {
        return this.context.clock.monotonicMilliseconds();
    }

    private next(): void {
        if (this.isSettled) {
            return;
        }
        const { service, request } = this.admitted;
        const isEngine = this.admitted.table.findService(service)?.engine !== undefined;
        const work = isEngine ? request.work : undefined;
        const { arrivedAt, route } = this.admitted;
        const objective = route.objectiveMilliseconds;
        const choice = this.context.dispatcher.choose({
            service,
            work,
            tried: this.tried,
            objectiveAt: arrivedAt + objective,
            patienceAt: arrivedAt + Math.max(shortestPatienceMilliseconds, patienceObjectives * objective),
            isResumed: this.answer.hasBegun,
        });
        switch (choice.kind) {
            case "target":
                this.send(choice.target);
                return;
            case "overloaded": {
                const expected = Math.round(choice.expectedMilliseconds);
                this.refuse(`the first event is expected after ${expected} ms`, choice.comeBackMilliseconds);
                return;
            }
            case "none":
                this.handleNoTarget();
        }
    }

    private handleNoTarget(): void {
        if (!this.answer.hasBegun) {
            this.refuse("no replica can take the request", reformMilliseconds);
            return;
        }
        this.resumeUntil ??= this.now() + resumeWaitMilliseconds;
        if (this.now() >= this.resumeUntil) {
            this.cut("no replica is available to resume the stream");
            return;
        }
        this.waitTimer = setTimeout(() => this.next(), resumePauseMilliseconds);
    }

    private send(target: DispatchTarget): void {
        const { context, admitted } = this;
        const { request, body } = admitted;
        const now = this.now();
        if (this.sends > 0 && !context.retriesOf(admitted.service).tryTake(now)) {
            this.finishWithout("refused", "the retry budget of the service is exhausted");
            return;
        }
        const { instance, group } = target;
        const tokens = request.work?.promptTokens ?? 0;
        const inFlightId =
            group === undefined ? undefined : context.flights.start(group, tokens, now, target.isDeferred);
        const attempt = createAttempt(this.sends + 1, target, now, inFlightId);
        this.attempt = attempt;
        this.lastTarget = target;
        this.sends += 1;
        this.tried.add(instance.id);
        context.records.start(instance.id);
        const headers = context.wire.encodeSend(request, {
            instance: instance.id,
            remainingMilliseconds: admitted.deadline - now,
            workspace: admitted.workspace,
            lastEventId: this.lastEventId,
            rank: this.rankAt(target),
            bodyBytes: body?.length,
        });
        context.log.debug("request sent to replica", {
            ...describeRequest(admitted),
            instance: instance.id,
            group,
            attempt: attempt.number,
        });
        attempt.call = context.upstreams.send(
            instance.id,
            {
                address: instance.address,
                method: request.method,
                target: request.target,
                headers,
                body,
                isRepeatable: isRepeatable(admitted.route),
            },
            {
                onHead: message => this.handleHead(attempt, message),
                onData: chunk => this.handleData(attempt, chunk),
                onEnd: () => this.handleEnd(attempt),
                onFailure: (message, mayHaveBeenSent) =>
                    this.endAttempt(attempt, mayHaveBeenSent ? "lost" : "notSent", message, mayHaveBeenSent),
            },
        );
        this.armAttemptTimer(attempt);
    }

    /**
     * Ranks a stream that the caller is already reading first, and a request that is expected to miss its objective
     * last.
     */
    private rankAt({ isDeferred }: DispatchTarget): number {
        if (this.answer.hasBegun) {
            return 0;
        }
        return isDeferred ? lastRank : Math.min(lastRank - 1, this.admitted.rank);
    }

    /** Limits the wait for the first event while another attempt is still allowed. */
    private armAttemptTimer(attempt: Attempt): void {
        const { route } = this.admitted;
        const hasFurtherAttempt = this.runs + 1 < route.maximumAttempts;
        const timeout = attemptPatience(route, attempt.target.expectedMilliseconds);
        if (hasFurtherAttempt && !this.answer.hasBegun && timeout !== undefined) {
            attempt.timer = setTimeout(() => this.handleSlowAttempt(attempt), timeout);
        }
    }

    private handleSlowAttempt(attempt: Attempt): void {
        const now = this.now();
        const { group } = attempt.target;
        const hasProgress =
            group !== undefined && this.context.flights.hasProgressedSince(group, now - progressMilliseconds);
        const extension = furtherPatience(this.admitted.route, now - attempt.sentAt, hasProgress);
        if (extension > 0) {
            attempt.timer = setTimeout(() => this.handleSlowAttempt(attempt), extension);
            return;
        }
        const hasBudget = this.context.retriesOf(this.admitted.service).available(now) > 0;
        if (this.attempt === attempt && !this.isSettled && !attempt.hasEvents && hasBudget) {
            attempt.call?.cancel();
            this.endAttempt(attempt, "lost", "no response before the attempt time-out", true);
        }
    }

    private handleHead(attempt: Attempt, message: IncomingMessage): void {
        const head = this.context.wire.decodeAnswer(message);
        attempt.head = head;
        const isForOtherRequest = head.requestId !== undefined && head.requestId !== this.admitted.request.id;
        if (isForOtherRequest) {
            attempt.call?.cancel();
            this.endAttempt(attempt, "lost", "the response names another request", true);
        }
    }

    private handleData(attempt: Attempt, chunk: Buffer): void {
        if (this.isSettled || this.attempt !== attempt) {
            return;
        }
        if (this.isRelayedStream(attempt)) {
            for (const event of attempt.splitter.push(chunk)) {
                this.relayEvent(attempt, event);
            }
            return;
        }
        attempt.heldBytes += chunk.length;
        if (attempt.heldBytes > heldAnswerBytes && isGood(attempt.head)) {
            this.relayPieces(attempt, chunk);
            return;
        }
        attempt.pieces.push(chunk);
    }

    private isRelayedStream(attempt: Attempt): boolean {
        return this.admitted.route.repeatability === "stream" && isGood(attempt.head);
    }

    private relayEvent(attempt: Attempt, event: StreamEvent): void {
        const now = this.now();
        const { group, instance } = attempt.target;
        if (group !== undefined && attempt.flight !== undefined) {
            this.context.flights.progress(group, attempt.flight, now);
        }
        if (!attempt.hasEvents) {
            attempt.hasEvents = true;
            clearTimeout(attempt.timer);
            this.context.records.recordSuccess(instance.id, now - attempt.sentAt);
            if (!this.answer.hasBegun) {
                this.context.dispatcher.recordFirstEvent(attempt.target, now - attempt.sentAt);
            }
        }
        if (event.id !== undefined && this.lastEventId !== undefined && event.id <= this.lastEventId) {
            return;
        }
        this.lastEventId = event.id ?? this.lastEventId;
        this.resumeUntil = undefined;
        this.answer.begin(attempt.head!, undefined, now);
        if (!this.answer.write(event.bytes)) {
            attempt.call?.pause();
        }
    }

    /** Relays what was buffered of a response that exceeds the buffer, and the chunk that exceeded it. */
    private relayPieces(attempt: Attempt, chunk: Buffer): void {
        this.answer.begin(attempt.head!, undefined, this.now());
        attempt.pieces.forEach(buffered => this.answer.write(buffered));
        attempt.pieces = [];
        if (!this.answer.write(chunk)) {
            attempt.call?.pause();
        }
    }

    private handleEnd(attempt: Attempt): void {
        if (this.isSettled || this.attempt !== attempt) {
            return;
        }
        const { head } = attempt;
        if (head === undefined) {
            this.endAttempt(attempt, "lost", "the response ended without a head", true);
        } else if (head.isNotRun) {
            if (head.status === misdirectedStatus) {
                this.context.records.recordMisdirected(attempt.target.instance.id, this.now());
            }
            this.endAttempt(
                attempt,
                "refused",
                `the replica refused the request with status ${head.status}`,
                false,
            );
        } else if (isGood(head)) {
            this.handleGoodEnd(attempt, head);
        } else if (head.isSigned && head.status >= 300) {
            this.lastFailure = { head, body: Buffer.concat(attempt.pieces) };
            this.endAttempt(attempt, "failed", `the replica failed with status ${head.status}`, true);
        } else {
            this.endAttempt(
                attempt,
                "lost",
                `the response with status ${head.status} is not signed by the replica`,
                true,
            );
        }
    }

    private handleGoodEnd(attempt: Attempt, head: AnswerHead): void {
        if (this.isRelayedStream(attempt) && attempt.splitter.hasPartialEvent) {
            this.endAttempt(attempt, "lost", "the stream ended inside an event", true);
            return;
        }
        this.release(attempt);
        this.context.records.recordSuccess(attempt.target.instance.id, this.now() - attempt.sentAt);
        this.context.metrics.attempts.inc({ service: this.admitted.service, outcome: "served" });
        if (this.answer.hasBegun) {
            this.settle("served", {});
            this.answer.end();
            return;
        }
        this.answerWhole(head, Buffer.concat(attempt.pieces), "served");
    }

    private answerWhole(head: AnswerHead, body: Buffer, outcome: string): void {
        this.answer.begin(head, body.length, this.now());
        this.settle(outcome, { status: head.status });
        this.answer.end(body);
    }

    /**
     * Ends the current attempt and decides the next step. `hasRun`: the replica is alive and may have run the
     * request.
     */
    private endAttempt(attempt: Attempt, outcome: AttemptOutcome, reason: string, hasRun: boolean): void {
        if (this.isSettled || this.attempt !== attempt) {
            return;
        }
        this.release(attempt);
        const { admitted, context } = this;
        const now = this.now();
        const { instance } = attempt.target;
        if (outcome !== "refused" && outcome !== "failed") {
            context.records.recordFailure(instance.id, now);
        }
        if (outcome === "lost" || outcome === "failed") {
            this.mayHaveRun = true;
            this.runs += hasRun ? 1 : 0;
        }
        const { lastEventId, runs } = this;
        reportAttempt(context, admitted, attempt, { outcome, reason, lastEventId, runs, endedAt: now });
        this.finishWithout(outcome, reason);
    }

    /** Takes the next step after an attempt without a complete response. */
    private finishWithout(outcome: AttemptOutcome, reason: string): void {
        const { admitted, context } = this;
        const now = this.now();
        const step = decideNextStep(outcome, {
            repeatability: admitted.route.repeatability,
            isResumable: admitted.route.isResumable,
            runs: this.runs,
            sends: this.sends,
            maximumAttempts: admitted.route.maximumAttempts,
            mayHaveRun: this.mayHaveRun,
            hasBegunAnswer: this.answer.hasBegun,
            remainingMilliseconds: admitted.deadline - now,
            hasBudget: context.retriesOf(admitted.service).available(now) > 0,
        });
        switch (step) {
            case "retry":
                this.next();
                return;
            case "pass":
                this.answerWhole(this.lastFailure!.head, this.lastFailure!.body, "failed");
                return;
            case "refuse":
                this.refuse(reason);
                return;
            case "unknown":
                this.answerOwn(502, "failed", reason);
                return;
            case "cut":
                this.cut(reason);
        }
    }

    private release(attempt: Attempt): void {
        clearTimeout(attempt.timer);
        const { instance, group } = attempt.target;
        this.context.records.end(instance.id);
        if (group !== undefined && attempt.flight !== undefined) {
            this.context.flights.end(group, attempt.flight);
        }
        this.attempt = undefined;
    }

    private refuse(reason: string, retryAfterMilliseconds = comeBackMilliseconds): void {
        if (this.mayHaveRun) {
            this.answerOwn(502, "failed", reason);
            return;
        }
        const jittered = retryAfterMilliseconds * (0.75 + this.context.random() / 2);
        const maximum = comeBackPart * Math.max(0, this.admitted.deadline - this.now());
        const seconds = Math.min(jittered, maximum) / 1000;
        this.answerOwn(503, "refused", reason, ["Retry-After", seconds.toFixed(2)]);
    }

    /** Cancels the current attempt at its replica; returns false if there is none. */
    private dropAttempt(): boolean {
        const { attempt } = this;
        if (attempt === undefined) {
            return false;
        }
        attempt.call?.cancel();
        this.release(attempt);
        return true;
    }

    private answerOwn(
        status: number,
        outcome: string,
        reason: string,
        headers: readonly string[] = [],
    ): void {
        this.settle(outcome, { status, reason });
        const { id } = this.admitted.request;
        const idHeader = id === undefined ? [] : [this.context.wire.answeredRequestHeader, id];
        this.answer.refuse(status, { message: reason, outcome }, [...idHeader, ...headers]);
    }

    private cut(reason: string): void {
        this.settle("cut", { reason });
        this.answer.cut();
    }

    private handleCallerGone(): void {
        if (!this.isSettled) {
            this.dropAttempt();
            this.settle("callerLeft", {});
        }
    }

    private settle(outcome: string, fields: Readonly<Record<string, unknown>>): void {
        this.isSettled = true;
        clearTimeout(this.deadlineTimer);
        clearTimeout(this.waitTimer);
        const { lastTarget, sends, runs } = this;
        const { firstByteAt } = this.answer;
        const end = { outcome, fields, lastTarget, sends, runs, firstByteAt, endedAt: this.now() };
        reportEnd(this.context, this.admitted, end);
    }
}
