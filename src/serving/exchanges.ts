/**
 * One request of a caller, from its arrival to the last byte of its answer: attempts at replicas one after the other,
 * and the replica's own answer passed on unchanged. An event stream may go on at another replica within one answer.
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

/** Longest answer that is held back until it is whole, in bytes; longer ones are passed on as they come. */
const heldAnswerBytes = 256 * 1024;
/** Time in which a stream that broke off waits for a replica to go on at, in milliseconds. */
const resumeWaitMilliseconds = 1_800;
/** Pause between two looks for such a replica, in milliseconds. */
const resumePauseMilliseconds = 40;
/** Time after which a caller that a replica refused may come back, in milliseconds, before jitter. */
const comeBackMilliseconds = 400;
/** The same while no replica group serves the model: about the time of forming one from hosts with the weights. */
const reformMilliseconds = 1_500;
/** Part of a caller's remaining time that it may be asked to wait before it comes back. */
const comeBackPart = 1 / 3;
/** Callers wait for the first event of a stream for this long at least, in milliseconds, and these many objectives. */
const shortestPatienceMilliseconds = 2_000;
const patienceObjectives = 4;
/** Status of a replica that is not the one that should take the request. */
const misdirectedStatus = 421;
/** Urgency of what goes last at a replica. */
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

    /** Starts to serve a request; the answer goes to `response`. */
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

    /** Key of the group that the present attempt is at. */
    public get group(): string | undefined {
        return this.attempt?.target.group;
    }

    /** The group of the present attempt stands still: goes on elsewhere. */
    public leaveGroup(): void {
        const { attempt } = this;
        if (attempt === undefined || this.isSettled) {
            return;
        }
        const { route } = this.admitted;
        if (route.repeatability === "stream" && isRepeatable(route)) {
            attempt.call?.cancel();
            // A stream that had not begun never will: its leader drops it with the connection.
            this.endAttempt(attempt, "lost", "its group stands still", attempt.hasEvents);
        }
    }

    /** Ends the request with an answer that says what is known of it. */
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
            this.cut("no replica to go on at");
            return;
        }
        this.waitTimer = setTimeout(() => this.next(), resumePauseMilliseconds);
    }

    private send(target: DispatchTarget): void {
        const { context, admitted } = this;
        const { request, body } = admitted;
        const now = this.now();
        if (this.sends > 0 && !context.retriesOf(admitted.service).tryTake(now)) {
            this.finishWithout("refused", "the budget of repeats is spent");
            return;
        }
        const { instance, group } = target;
        const tokens = request.work?.promptTokens ?? 0;
        const flight =
            group === undefined ? undefined : context.flights.start(group, tokens, now, target.isDeferred);
        const attempt = createAttempt(this.sends + 1, target, now, flight);
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
        context.log.debug("sent", {
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
                onData: piece => this.handleData(attempt, piece),
                onEnd: () => this.handleEnd(attempt),
                onFailure: (message, mayHaveBeenSent) =>
                    this.endAttempt(attempt, mayHaveBeenSent ? "lost" : "notSent", message, mayHaveBeenSent),
            },
        );
        this.armAttemptTimer(attempt);
    }

    /** A stream that a caller is already reading goes first, one that will be late goes last. */
    private rankAt({ isDeferred }: DispatchTarget): number {
        if (this.answer.hasBegun) {
            return 0;
        }
        return isDeferred ? lastRank : Math.min(lastRank - 1, this.admitted.rank);
    }

    /** Bounds the wait for an attempt that another replica could still serve in time. */
    private armAttemptTimer(attempt: Attempt): void {
        const { route } = this.admitted;
        const hasSpare = this.runs + 1 < route.maximumAttempts;
        const patience = attemptPatience(route, attempt.target.expectedMilliseconds);
        if (hasSpare && !this.answer.hasBegun && patience !== undefined) {
            attempt.timer = setTimeout(() => this.handleSlowAttempt(attempt), patience);
        }
    }

    private handleSlowAttempt(attempt: Attempt): void {
        const now = this.now();
        const { group } = attempt.target;
        const hasProgress =
            group !== undefined && this.context.flights.hasProgressedSince(group, now - progressMilliseconds);
        const further = furtherPatience(this.admitted.route, now - attempt.sentAt, hasProgress);
        if (further > 0) {
            attempt.timer = setTimeout(() => this.handleSlowAttempt(attempt), further);
            return;
        }
        const hasBudget = this.context.retriesOf(this.admitted.service).available(now) > 0;
        if (this.attempt === attempt && !this.isSettled && !attempt.hasEvents && hasBudget) {
            attempt.call?.cancel();
            this.endAttempt(attempt, "lost", "no answer in time to try elsewhere", true);
        }
    }

    private handleHead(attempt: Attempt, message: IncomingMessage): void {
        const head = this.context.wire.decodeAnswer(message);
        attempt.head = head;
        const isOther = head.requestId !== undefined && head.requestId !== this.admitted.request.id;
        if (isOther) {
            attempt.call?.cancel();
            this.endAttempt(attempt, "lost", "the answer belongs to another request", true);
        }
    }

    private handleData(attempt: Attempt, piece: Buffer): void {
        if (this.isSettled || this.attempt !== attempt) {
            return;
        }
        if (this.isRelayedStream(attempt)) {
            for (const event of attempt.splitter.push(piece)) {
                this.relayEvent(attempt, event);
            }
            return;
        }
        attempt.heldBytes += piece.length;
        if (attempt.heldBytes > heldAnswerBytes && isGood(attempt.head)) {
            this.relayPieces(attempt, piece);
            return;
        }
        attempt.pieces.push(piece);
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

    /** Passes on an answer that is too long to be held back. */
    private relayPieces(attempt: Attempt, piece: Buffer): void {
        this.answer.begin(attempt.head!, undefined, this.now());
        attempt.pieces.forEach(held => this.answer.write(held));
        attempt.pieces = [];
        if (!this.answer.write(piece)) {
            attempt.call?.pause();
        }
    }

    private handleEnd(attempt: Attempt): void {
        if (this.isSettled || this.attempt !== attempt) {
            return;
        }
        const { head } = attempt;
        if (head === undefined) {
            this.endAttempt(attempt, "lost", "an answer without a head", true);
        } else if (head.isNotRun) {
            if (head.status === misdirectedStatus) {
                this.context.records.recordMisdirected(attempt.target.instance.id, this.now());
            }
            this.endAttempt(attempt, "refused", `refused with ${head.status}`, false);
        } else if (isGood(head)) {
            this.handleGoodEnd(attempt, head);
        } else if (head.isSigned && head.status >= 300) {
            this.lastFailure = { head, body: Buffer.concat(attempt.pieces) };
            this.endAttempt(attempt, "failed", `failed with ${head.status}`, true);
        } else {
            this.endAttempt(attempt, "lost", `an answer ${head.status} that nobody vouches for`, true);
        }
    }

    private handleGoodEnd(attempt: Attempt, head: AnswerHead): void {
        if (this.isRelayedStream(attempt) && attempt.splitter.hasPartialEvent) {
            this.endAttempt(attempt, "lost", "the stream ended within an event", true);
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

    /** Ends the present attempt and decides what follows. `hasRun`: the replica lives and may have run it. */
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

    /** Goes on after an attempt that brought no whole answer. */
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

    private refuse(reason: string, comeBack = comeBackMilliseconds): void {
        if (this.mayHaveRun) {
            this.answerOwn(502, "failed", reason);
            return;
        }
        const jittered = comeBack * (0.75 + this.context.random() / 2);
        const longest = comeBackPart * Math.max(0, this.admitted.deadline - this.now());
        const seconds = Math.min(jittered, longest) / 1000;
        this.answerOwn(503, "refused", reason, ["Retry-After", seconds.toFixed(2)]);
    }

    /** Ends the present attempt at its replica; false if there was none. */
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
        const named = id === undefined ? [] : [this.context.wire.answeredRequestHeader, id];
        this.answer.refuse(status, { message: reason, outcome }, [...named, ...headers]);
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
