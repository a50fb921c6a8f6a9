/**
 * Proxies one caller request from its admission to the last byte of the response: tries replicas one after the other
 * and relays the replica's response unchanged. An event stream may be resumed at another replica within one response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { AttemptFacts, AttemptOutcome } from "./attempt-decision.js";
import { decideNextStep, mayTryElsewhere, resumeDelayMilliseconds } from "./attempt-decision.js";
import { CallerResponse } from "./caller-response.js";
import { isRetryable } from "./serving-configuration.js";
import type { SegmentedRequest } from "./crash-attribution.js";
import { quarantineMilliseconds } from "./crash-attribution.js";
import type { DispatchChoice, DispatchTarget } from "./dispatcher.js";
import type { ErrorResponse, Refusal } from "./error-responses.js";
import {
    expiredResponse,
    refusalAfterAttempt,
    refusalWithoutTarget,
    refusedResponse,
    unknownResponse,
} from "./error-responses.js";
import type { StreamEvent } from "./event-splitter.js";
import type { Attempt } from "./exchange-attempt.js";
import { createAttempt, mayHaveCrashedReplica } from "./exchange-attempt.js";
import type { AdmittedRequest, ExchangeContext } from "./exchange-context.js";
import { describeRequest, recordAttemptEnd, recordExchangeEnd } from "./exchange-reporting.js";
import {
    attemptTimeoutMilliseconds,
    attemptExtensionMilliseconds,
    recentProgressMilliseconds,
} from "./attempt-timeouts.js";
import type { ResponsePart } from "./replica-response.js";
import { ReplicaResponse } from "./replica-response.js";
import type { ResponseHead } from "./wire-format.js";

/** Interval between two searches for a replica that takes over an interrupted or silent stream, in milliseconds. */
const resumePollIntervalMilliseconds = 40;
/**
 * A caller is assumed to wait for the first event of a stream for `minimumFirstEventTimeoutMilliseconds` or for
 * `firstEventTimeoutObjectives` times the latency objective, whichever is longer.
 */
const minimumFirstEventTimeoutMilliseconds = 2_000;
const firstEventTimeoutObjectives = 4;
/** Minimum time without an event after which an attempt at a suspected group counts as silent, in milliseconds. */
const minimumSilenceMilliseconds = 130;
/** HTTP status of a replica that is not the intended recipient of the request (421 Misdirected Request). */
const misdirectedStatus = 421;
/** Rank of the requests that a replica handles last. */
const lowestRank = 9;

export class Exchange {
    private attempt: Attempt | undefined;
    /** Attempt at a silent replica that continues while `attempt` is made elsewhere. */
    private silentAttempt: Attempt | undefined;
    private readonly triedInstances = new Set<string>();
    private attemptCount = 0;
    private possibleRuns = 0;
    /** Attempts in a row that no replica took. */
    private refusals = 0;
    private mayHaveRun = false;
    private lastEventId: number | undefined;
    private lastTarget: DispatchTarget | undefined;
    private lastFailure: { readonly head: ResponseHead; readonly body: Buffer } | undefined;
    private isSettled = false;
    /** True if the last attempt may have crashed its replica. */
    private hasLastAttemptCrashed = false;
    private readonly deadlineTimer: NodeJS.Timeout;
    private waitTimer: NodeJS.Timeout | undefined;

    private constructor(
        private readonly context: ExchangeContext,
        private readonly admitted: AdmittedRequest,
        private readonly callerResponse: CallerResponse,
        response: ServerResponse,
    ) {
        this.lastEventId = admitted.request.lastEventId;
        const remaining = Math.max(0, admitted.deadline - this.now());
        this.deadlineTimer = setTimeout(() => this.terminate("the deadline has passed"), remaining);
        response.once("close", () => this.handleCallerDisconnect());
        response.on("drain", () => this.liveAttempts.forEach(({ call }) => call?.resume()));
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
            CallerResponse.create(response, context.isStopping),
            response,
        );
        context.retryWindowOf(admitted.service).recordRequest(exchange.now());
        exchange.startNextAttempt();
        return exchange;
    }

    /** Key of the replica group that handles the current attempt. */
    public get group(): string | undefined {
        return this.attempt?.target.group;
    }

    /**
     * Tries a stream at another replica because its group is silent. The attempt at the group continues, since a silent
     * replica may be sound: the first of both that makes progress serves the caller.
     */
    public handleSilentGroup(): void {
        const { attempt } = this;
        if (attempt !== undefined && this.admitted.route.repeatability === "stream") {
            this.tryElsewhere(attempt);
        }
    }

    /** Ends the request; the response states whether a replica may have run it. */
    public terminate(reason: string): void {
        if (this.isSettled) {
            return;
        }
        const wasSent = this.cancelAttempts();
        if (this.callerResponse.hasBegun) {
            this.abortResponse(reason);
            return;
        }
        this.respondWithError(expiredResponse(reason, wasSent || this.mayHaveRun));
    }

    /** Ends a request that waits at a replica if requests with its prompt segments crash replicas. */
    public cancelIfQuarantined(): void {
        const { context, promptSegments } = this;
        const isWaiting = !this.isSettled && this.liveAttempts.some(attempt => !attempt.hasReceivedEvents);
        if (isWaiting && context.crashAttribution.isQuarantined(promptSegments, this.now())) {
            this.cancelAttempts();
            this.mayHaveRun = true;
            this.refuseQuarantined();
        }
    }

    private get promptSegments(): readonly string[] {
        return this.admitted.request.work?.promptSegments ?? [];
    }

    /** Identifies the request in all its attempts. */
    private get crashSubject(): SegmentedRequest {
        return {
            request: this.admitted.request.id ?? String(this.admitted.arrivedAt),
            segments: this.promptSegments,
        };
    }

    private refuseQuarantined(): void {
        const reason = "requests with this part of the prompt crash replicas; omit it or retry later";
        this.context.metrics.quarantineRefusals.inc();
        if (this.callerResponse.hasBegun) {
            this.abortResponse(reason);
        } else if (this.mayHaveRun) {
            this.sendErrorResponse(502, "failed", reason);
        } else {
            const seconds = String(quarantineMilliseconds / 1000);
            this.sendErrorResponse(503, "refused", reason, ["Retry-After", seconds]);
        }
    }

    private now(): number {
        return this.context.clock.monotonicMilliseconds();
    }

    private get liveAttempts(): readonly Attempt[] {
        return [this.attempt, this.silentAttempt].filter(attempt => attempt !== undefined);
    }

    private isLive(attempt: Attempt): boolean {
        return !this.isSettled && (this.attempt === attempt || this.silentAttempt === attempt);
    }

    private chooseReplica(): DispatchChoice {
        const { service, request, arrivedAt, route } = this.admitted;
        const isEngine = this.admitted.table.findService(service)?.engine !== undefined;
        const objective = route.objectiveMilliseconds;
        return this.context.dispatcher.choose({
            service,
            work: isEngine ? request.work : undefined,
            triedInstances: this.triedInstances,
            objectiveDeadline: arrivedAt + objective,
            firstEventDeadline:
                arrivedAt +
                Math.max(minimumFirstEventTimeoutMilliseconds, firstEventTimeoutObjectives * objective),
            isResumed: this.callerResponse.hasBegun,
        });
    }

    /** Checks until the group of the attempt is in use again, since a group may fall silent, go on and fall silent again. */
    private tryElsewhere(attempt: Attempt): void {
        const { instance, group } = attempt.target;
        const isDoubtful = group !== undefined && this.context.isDoubtful(group);
        if (this.isSettled || this.attempt !== attempt || !isDoubtful) {
            return;
        }
        const isSilent = this.now() - attempt.lastProgressAt >= minimumSilenceMilliseconds;
        const choice =
            isSilent && mayTryElsewhere(this.attemptFacts())
                ? this.chooseReplica()
                : ({ kind: "none" } as const);
        if (!isOtherReplica(choice, attempt)) {
            this.scheduleTryElsewhere(attempt);
            return;
        }
        this.context.log.info("replica is silent; trying another one meanwhile", {
            ...describeRequest(this.admitted),
            instance: instance.id,
            group,
            attempt: attempt.number,
            lastEvent: this.lastEventId,
        });
        clearTimeout(attempt.slowAttemptTimer);
        this.silentAttempt = attempt;
        this.startAttempt(choice.target);
    }

    private scheduleTryElsewhere(attempt: Attempt): void {
        clearTimeout(this.waitTimer);
        const delay = resumePollIntervalMilliseconds + resumeDelayMilliseconds(this.refusals);
        this.waitTimer = setTimeout(() => this.tryElsewhere(attempt), delay);
    }

    /** Waits for the silent replica again, because no other one served the request. */
    private returnToSilentAttempt(attempt: Attempt): void {
        this.attempt = attempt;
        this.silentAttempt = undefined;
        this.lastTarget = attempt.target;
        this.scheduleTryElsewhere(attempt);
    }

    /** Continues with one of two attempts and cancels the other, if there is one. */
    private keepOnly(attempt: Attempt): void {
        if (this.attempt === attempt && this.silentAttempt === undefined) {
            return;
        }
        const other = this.liveAttempts.find(each => each !== attempt);
        const wasSilent = other === this.silentAttempt;
        this.attempt = attempt;
        this.silentAttempt = undefined;
        this.lastTarget = attempt.target;
        this.scheduleTryElsewhere(attempt);
        if (other === undefined) {
            return;
        }
        other.call?.cancel();
        this.releaseAttempt(other);
        this.mayHaveRun = true;
        // When the connection closes, a silent leader drops a stream that has not begun.
        this.possibleRuns += other.hasReceivedEvents || !wasSilent ? 1 : 0;
        this.recordAttemptEnd(other, "superseded", "another replica made progress first");
    }

    private startNextAttempt(): void {
        clearTimeout(this.waitTimer);
        if (this.isSettled || this.attempt !== undefined) {
            return;
        }
        if (this.context.crashAttribution.recordRequest(this.promptSegments, this.now())) {
            this.cancelAttempts();
            this.refuseQuarantined();
            return;
        }
        const choice = this.chooseReplica();
        const { silentAttempt } = this;
        if (silentAttempt !== undefined && !isOtherReplica(choice, silentAttempt)) {
            this.returnToSilentAttempt(silentAttempt);
            return;
        }
        if (choice.kind === "target") {
            this.startAttempt(choice.target);
        } else if (this.callerResponse.hasBegun && choice.kind !== "overloaded") {
            // The caller may still be waiting; its deadline or its disconnection ends the search.
            this.startNextAttemptAfter(resumePollIntervalMilliseconds);
        } else {
            this.refuse(refusalWithoutTarget(choice));
        }
    }

    private startAttempt(target: DispatchTarget): void {
        const { context, admitted } = this;
        const { request, body } = admitted;
        const now = this.now();
        if (this.attemptCount > 0 && !context.retryWindowOf(admitted.service).tryTakeRetry(now)) {
            this.continueAfterAttempt("refused", "the retry budget of the service is exhausted");
            return;
        }
        const { instance, group } = target;
        const tokens = request.work?.promptTokens ?? 0;
        const inFlightId =
            group === undefined
                ? undefined
                : context.inFlightRequests.start(group, tokens, now, target.isDeferred);
        const response = ReplicaResponse.create({
            requestId: request.id,
            isStream: admitted.route.repeatability === "stream",
        });
        const attempt = createAttempt(this.attemptCount + 1, target, now, inFlightId, response);
        this.attempt = attempt;
        this.lastTarget = target;
        this.attemptCount += 1;
        this.triedInstances.add(instance.id);
        context.replicaRecords.startRequest(instance.id);
        context.backPressure.recordSend(instance.id, now);
        const headers = context.wire.encodeReplicaRequest(request, {
            instance: instance.id,
            remainingMilliseconds: admitted.deadline - now,
            workspace: admitted.workspace,
            lastEventId: this.lastEventId,
            rank: this.rankFor(target),
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
                isRetryable: isRetryable(admitted.route),
                mayStart: () =>
                    !context.isLeaving(instance) && !context.backPressure.isPaused(instance, this.now()),
            },
            {
                onHead: message => this.handleHead(attempt, message),
                onData: chunk => this.handleData(attempt, chunk),
                onEnd: () => this.handleEnd(attempt),
                onFailure: (message, mayHaveBeenSent) => {
                    this.reportBrokenConnection(attempt, mayHaveBeenSent);
                    this.endAttempt(attempt, mayHaveBeenSent ? "lost" : "notSent", message);
                },
                onWithheld: () =>
                    this.endAttempt(attempt, "withheld", "the replica wants no further requests"),
            },
        );
        this.armAttemptTimer(attempt);
    }

    private reportBrokenConnection(attempt: Attempt, mayHaveBeenSent: boolean): void {
        const now = this.now();
        attempt.hasCrashedReplica = mayHaveBeenSent && mayHaveCrashedReplica(attempt, now);
        if (attempt.hasCrashedReplica) {
            const { id, status } = attempt.target.instance;
            const start = `${id} ${status.incarnation ?? ""}`;
            const hasHead = attempt.head !== undefined && !attempt.hasReceivedEvents;
            this.context.crashAttribution.recordCrash(this.crashSubject, start, hasHead, now);
        }
    }

    /**
     * Ranks a stream that the caller is already reading first, and a request that is expected to miss its objective
     * last.
     */
    private rankFor({ isDeferred }: DispatchTarget): number {
        if (this.callerResponse.hasBegun) {
            return 0;
        }
        return isDeferred ? lowestRank : Math.min(lowestRank - 1, this.admitted.rank);
    }

    /** Limits the wait for a response, or the first event of a stream, while another attempt is allowed. */
    private armAttemptTimer(attempt: Attempt): void {
        const { route } = this.admitted;
        const hasFurtherAttempt = this.countedRuns + 1 < route.maximumAttempts;
        const timeout = attemptTimeoutMilliseconds(route, attempt.target.expectedMilliseconds);
        if (hasFurtherAttempt && !this.callerResponse.hasBegun && timeout !== undefined) {
            attempt.slowAttemptTimer = setTimeout(() => this.handleSlowAttempt(attempt), timeout);
        }
    }

    private handleSlowAttempt(attempt: Attempt): void {
        const now = this.now();
        const { group } = attempt.target;
        const hasProgress =
            group !== undefined &&
            this.context.inFlightRequests.hasProgressedSince(group, now - recentProgressMilliseconds);
        const extension = attemptExtensionMilliseconds(
            this.admitted.route,
            now - attempt.sentAt,
            hasProgress,
        );
        if (extension > 0) {
            attempt.slowAttemptTimer = setTimeout(() => this.handleSlowAttempt(attempt), extension);
            return;
        }
        const hasBegun = attempt.hasReceivedEvents || this.callerResponse.hasBegun;
        if (this.attempt !== attempt || this.isSettled || hasBegun) {
            return;
        }
        if (!mayTryElsewhere(this.attemptFacts()) || !isOtherReplica(this.chooseReplica(), attempt)) {
            // Ending the attempt would lose a response that may still come.
            attempt.slowAttemptTimer = setTimeout(
                () => this.handleSlowAttempt(attempt),
                resumePollIntervalMilliseconds,
            );
            return;
        }
        attempt.call?.cancel();
        this.endAttempt(attempt, "lost", "no response before the attempt time-out");
    }

    private handleHead(attempt: Attempt, message: IncomingMessage): void {
        const head = this.context.wire.decodeResponse(message);
        this.noteReplicaState(attempt, head);
        this.handleParts(attempt, attempt.response.readHead(head));
    }

    private noteReplicaState({ target }: Attempt, head: ResponseHead): void {
        const { backPressure, onLeaving } = this.context;
        const { instance } = target;
        if (head.pauseMilliseconds !== undefined) {
            backPressure.record(instance, head.pauseMilliseconds, this.now());
        } else if (!head.isStatedNotRun) {
            backPressure.recordAccepted(instance.id, this.now());
        }
        if (head.isLeaving) {
            onLeaving(instance);
        }
    }

    private handleData(attempt: Attempt, chunk: Buffer): void {
        if (this.isLive(attempt)) {
            this.handleParts(attempt, attempt.response.readData(chunk));
        }
    }

    private handleParts(attempt: Attempt, parts: readonly ResponsePart[]): void {
        for (const part of parts) {
            switch (part.kind) {
                case "event":
                    this.relayEvent(attempt, part.head, part.event);
                    break;
                case "bytes":
                    this.relayBytes(attempt, part.head, part.chunks);
                    break;
                case "unusable":
                    attempt.call?.cancel();
                    this.endAttempt(attempt, "lost", part.reason);
            }
        }
    }

    private relayEvent(attempt: Attempt, head: ResponseHead, event: StreamEvent): void {
        const now = this.now();
        const { group, instance } = attempt.target;
        attempt.lastProgressAt = now;
        if (group !== undefined && attempt.inFlightId !== undefined) {
            this.context.inFlightRequests.recordProgress(group, attempt.inFlightId, now);
        }
        if (!attempt.hasReceivedEvents) {
            attempt.hasReceivedEvents = true;
            attempt.firstEventAt = now;
            clearTimeout(attempt.slowAttemptTimer);
            this.context.replicaRecords.recordSuccess(instance.id, now - attempt.sentAt);
            if (!this.callerResponse.hasBegun) {
                this.context.dispatcher.recordFirstEvent(attempt.target, now - attempt.sentAt);
            }
        }
        if (event.id !== undefined && this.lastEventId !== undefined && event.id <= this.lastEventId) {
            return;
        }
        this.keepOnly(attempt);
        this.lastEventId = event.id ?? this.lastEventId;
        this.callerResponse.begin(head, undefined, now);
        if (!this.callerResponse.write(event.bytes)) {
            attempt.call?.pause();
        }
    }

    private relayBytes(attempt: Attempt, head: ResponseHead, chunks: readonly Buffer[]): void {
        this.callerResponse.begin(head, undefined, this.now());
        const areTaken = chunks.map(chunk => this.callerResponse.write(chunk));
        if (areTaken.at(-1) === false) {
            attempt.call?.pause();
        }
    }

    private handleEnd(attempt: Attempt): void {
        if (!this.isLive(attempt)) {
            return;
        }
        const end = attempt.response.readEnd();
        if (end.kind === "complete") {
            this.handleSuccessfulEnd(attempt, end.head, end.body);
            return;
        }
        if (end.kind === "refused" && end.head.status === misdirectedStatus) {
            this.context.replicaRecords.recordMisdirected(attempt.target.instance.id, this.now());
        } else if (end.kind === "failed") {
            this.lastFailure = end;
        }
        this.endAttempt(attempt, end.kind, end.reason);
    }

    private handleSuccessfulEnd(attempt: Attempt, head: ResponseHead, body: Buffer): void {
        this.keepOnly(attempt);
        this.releaseAttempt(attempt);
        this.context.crashAttribution.recordSound(this.promptSegments, this.now());
        this.context.replicaRecords.recordSuccess(attempt.target.instance.id, this.now() - attempt.sentAt);
        this.context.metrics.attempts.inc({ service: this.admitted.service, outcome: "served" });
        if (this.callerResponse.hasBegun) {
            this.settle("served", {});
            this.callerResponse.end();
            return;
        }
        this.sendCompleteResponse(head, body, "served");
    }

    private sendCompleteResponse(head: ResponseHead, body: Buffer, outcome: string): void {
        this.callerResponse.begin(head, body.length, this.now());
        this.settle(outcome, { status: head.status });
        this.callerResponse.end(body);
    }

    /** Ends an attempt and decides the next step. */
    private endAttempt(attempt: Attempt, outcome: AttemptOutcome, reason: string): void {
        if (!this.isLive(attempt)) {
            return;
        }
        this.releaseAttempt(attempt);
        const { instance } = attempt.target;
        if (outcome === "notSent" || outcome === "lost") {
            this.context.replicaRecords.recordFailure(instance.id, this.now());
        }
        if (outcome === "lost" || outcome === "failed") {
            this.mayHaveRun = true;
            this.possibleRuns += 1;
        }
        this.recordAttemptEnd(attempt, outcome, reason);
        this.hasLastAttemptCrashed = attempt.hasCrashedReplica;
        if (this.attempt !== undefined) {
            this.tryElsewhere(this.attempt);
            return;
        }
        this.continueAfterAttempt(outcome, reason);
    }

    private recordAttemptEnd(attempt: Attempt, outcome: AttemptOutcome | "superseded", reason: string): void {
        const { lastEventId, possibleRuns } = this;
        recordAttemptEnd(this.context, this.admitted, attempt, {
            outcome,
            reason,
            lastEventId,
            possibleRuns,
            endedAt: this.now(),
        });
    }

    /** Number of replicas that may have run the request, including one that is silent. */
    private get countedRuns(): number {
        return this.possibleRuns + (this.silentAttempt === undefined ? 0 : 1);
    }

    private attemptFacts(): AttemptFacts {
        const { admitted, context } = this;
        const now = this.now();
        return {
            repeatability: admitted.route.repeatability,
            isResumable: admitted.route.isResumable,
            possibleRuns: this.countedRuns,
            attemptCount: this.attemptCount,
            maximumAttempts: admitted.route.maximumAttempts,
            mayHaveRun: this.mayHaveRun,
            hasBegunResponse: this.callerResponse.hasBegun,
            hasSilentAttempt: this.silentAttempt !== undefined,
            remainingMilliseconds: admitted.deadline - now,
            hasRetryBudget: context.retryWindowOf(admitted.service).availableRetries(now) > 0,
        };
    }

    /** Takes the next step after an attempt without a complete response. */
    private continueAfterAttempt(outcome: AttemptOutcome, reason: string): void {
        this.refusals = outcome === "lost" || outcome === "failed" ? 0 : this.refusals + 1;
        const facts = this.attemptFacts();
        const step = decideNextStep(
            outcome,
            this.mayCrashAnotherReplica(outcome) ? { ...facts, maximumAttempts: 0 } : facts,
        );
        switch (step) {
            case "retry":
                this.retry();
                return;
            case "postpone":
                this.startNextAttemptAfter(resumePollIntervalMilliseconds);
                return;
            case "wait":
                this.returnToSilentAttempt(this.silentAttempt!);
                return;
            case "pass":
                this.sendCompleteResponse(this.lastFailure!.head, this.lastFailure!.body, "failed");
                return;
            case "refuse":
                this.refuse(refusalAfterAttempt(reason));
                return;
            case "unknown":
                this.respondWithError(unknownResponse(reason));
                return;
            case "cut":
                this.abortResponse(reason);
        }
    }

    private retry(): void {
        const delay = this.callerResponse.hasBegun ? resumeDelayMilliseconds(this.refusals) : 0;
        if (delay === 0) {
            this.startNextAttempt();
        } else {
            this.startNextAttemptAfter(delay);
        }
    }

    private startNextAttemptAfter(milliseconds: number): void {
        clearTimeout(this.waitTimer);
        this.waitTimer = setTimeout(() => this.startNextAttempt(), milliseconds);
    }

    private mayCrashAnotherReplica(outcome: AttemptOutcome): boolean {
        const { crashAttribution } = this.context;
        return (
            outcome === "lost" &&
            this.hasLastAttemptCrashed &&
            crashAttribution.isSuspect(this.crashSubject, this.now())
        );
    }

    private releaseAttempt(attempt: Attempt): void {
        clearTimeout(attempt.slowAttemptTimer);
        const { instance, group } = attempt.target;
        this.context.replicaRecords.endRequest(instance.id);
        if (group !== undefined && attempt.inFlightId !== undefined) {
            this.context.inFlightRequests.end(group, attempt.inFlightId);
        }
        if (this.attempt === attempt) {
            this.attempt = undefined;
        } else if (this.silentAttempt === attempt) {
            this.silentAttempt = undefined;
        }
    }

    private refuse(refusal: Refusal): void {
        if (this.mayHaveRun) {
            this.respondWithError(unknownResponse(refusal.reason));
            return;
        }
        const { arrivedAt, deadline, request } = this.admitted;
        // The caller waits for its own time, which may be longer than the route's.
        const callerDeadline = arrivedAt + (request.timeoutMilliseconds ?? deadline - arrivedAt);
        const remaining = callerDeadline - this.now();
        this.respondWithError(refusedResponse(refusal, this.context.random(), remaining));
    }

    /** Cancels all attempts at their replicas; returns false if there is none. */
    private cancelAttempts(): boolean {
        const attempts = this.liveAttempts;
        attempts.forEach(attempt => {
            attempt.call?.cancel();
            this.releaseAttempt(attempt);
        });
        return attempts.length > 0;
    }

    private respondWithError({ status, outcome, reason, headers }: ErrorResponse): void {
        this.sendErrorResponse(status, outcome, reason, headers);
    }

    private sendErrorResponse(
        status: number,
        outcome: string,
        reason: string,
        headers: readonly string[] = [],
    ): void {
        this.settle(outcome, { status, reason });
        const { id } = this.admitted.request;
        const idHeader = id === undefined ? [] : [this.context.wire.requestIdHeader, id];
        this.callerResponse.sendError(status, { message: reason, outcome }, [...idHeader, ...headers]);
    }

    private abortResponse(reason: string): void {
        this.settle("cut", { reason });
        this.callerResponse.abort();
    }

    private handleCallerDisconnect(): void {
        if (!this.isSettled) {
            this.cancelAttempts();
            this.settle("callerLeft", {});
        }
    }

    private settle(outcome: string, fields: Readonly<Record<string, unknown>>): void {
        this.isSettled = true;
        clearTimeout(this.deadlineTimer);
        clearTimeout(this.waitTimer);
        const { lastTarget, attemptCount, possibleRuns } = this;
        const { firstByteAt } = this.callerResponse;
        const end = {
            outcome,
            fields,
            lastTarget,
            attemptCount,
            possibleRuns,
            firstByteAt,
            endedAt: this.now(),
        };
        recordExchangeEnd(this.context, this.admitted, end);
    }
}

/** True if a choice is a replica other than that of an attempt. */
function isOtherReplica(
    choice: DispatchChoice,
    { target }: Attempt,
): choice is Extract<DispatchChoice, { readonly kind: "target" }> {
    return choice.kind === "target" && choice.target.instance.id !== target.instance.id;
}
