/**
 * Proxies one caller request from its admission to the last byte of the response: tries replicas one after the other
 * and relays the replica's response unchanged. An event stream may be resumed at another replica within one response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Delivery } from "../links/upstream-pools.js";
import type { AttemptOutcome } from "./attempt-decision.js";
import type { AttemptCommand, AttemptConditions, AttemptEvent, ChoicePurpose } from "./attempt-sequence.js";
import { advanceAttempts, countPossibleRuns, noAttempts } from "./attempt-sequence.js";
import { CallerResponse } from "./caller-response.js";
import { isRetryable } from "./serving-configuration.js";
import type { CrashSubject } from "./crash-attribution.js";
import { requestTrait, resourceTrait } from "./crash-causes.js";
import type { DispatchChoice, DispatchTarget } from "./dispatcher.js";
import type { ErrorResponse, Refusal } from "./error-responses.js";
import { expiredResponse, quarantinedResponse, refusedResponse, unknownResponse } from "./error-responses.js";
import type { StreamEvent } from "./event-splitter.js";
import type { Attempt } from "./exchange-attempt.js";
import { crashProgressOf, createAttempt } from "./exchange-attempt.js";
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

/**
 * A caller is assumed to wait for the first event of a stream for `minimumFirstEventTimeoutMilliseconds` or for
 * `firstEventTimeoutObjectives` times the latency objective, whichever is longer.
 */
const minimumFirstEventTimeoutMilliseconds = 2_000;
const firstEventTimeoutObjectives = 4;
const outcomeByDelivery: Readonly<Record<Delivery, AttemptOutcome>> = {
    notSent: "notSent",
    dropped: "dropped",
    sent: "lost",
};
/** HTTP status of a replica that is not the intended recipient of the request (421 Misdirected Request). */
const misdirectedStatus = 421;
/** Number of denied permits after which a request is refused. */
const maximumDeniedPermits = 5;
/** Minimum Retry-After of a request that was denied its permits, in milliseconds. */
const minimumPermitRetryAfterMilliseconds = 100;
/** Rank of the requests that a replica handles last. */
const lowestRank = 9;

export class Exchange {
    /** What is decided about the attempts; input and output of the live ones are in `attempts`. */
    private sequence = noAttempts;
    /** Live attempts by number. */
    private readonly attempts = new Map<number, Attempt>();
    private readonly triedInstances = new Set<string>();
    private lastEventId: number | undefined;
    private lastTarget: DispatchTarget | undefined;
    private lastFailure: { readonly head: ResponseHead; readonly body: Buffer } | undefined;
    private isSettled = false;
    private isAwaitingPermit = false;
    /** Denied permits since the last choice of a replica that needs none. */
    private deniedPermits = 0;
    /** True if a connection that was reused for this request carried a late response to another request. */
    private hasReceivedForeignResponse = false;
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
            this.checkSilence(attempt);
        }
    }

    /** Ends the request; the response states whether a replica may have run it. */
    public terminate(reason: string): void {
        if (this.isSettled) {
            return;
        }
        this.cancelAttempts();
        if (this.callerResponse.hasBegun) {
            this.abortResponse(reason);
            return;
        }
        this.respondWithError(expiredResponse(reason, this.mayHaveRun));
    }

    /**
     * Ends a request that waits at a replica if requests like it crash replicas. A response that has begun goes on: its
     * caller would lose what it has, and a request that crashes replicas early never gets as far.
     */
    public cancelIfQuarantined(): void {
        const isWaiting =
            !this.isSettled &&
            !this.callerResponse.hasBegun &&
            this.liveAttempts.some(attempt => !attempt.hasReceivedEvents);
        if (isWaiting && this.context.crashAttribution.isQuarantined(this.crashSubject, this.now())) {
            this.cancelAttempts();
            this.refuseQuarantined();
        }
    }

    /** What may crash replicas in this request; the traits are calculated only while there are crashes. */
    private get crashSubject(): CrashSubject {
        const { identity, request } = this.admitted;
        return {
            get request() {
                return requestTrait(identity.hash);
            },
            get resource() {
                return resourceTrait(identity.resourceHash);
            },
            segments: request.work?.promptSegments ?? [],
        };
    }

    /** `endsAt`: end of the quarantine in local monotonic milliseconds; needed unless a replica may have run the request. */
    private refuseQuarantined(endsAt = this.now()): void {
        this.context.metrics.quarantineRefusals.inc();
        const remaining = endsAt - this.now();
        this.respondWithError(quarantinedResponse(this.mayHaveRun, this.context.random(), remaining));
    }

    private now(): number {
        return this.context.clock.monotonicMilliseconds();
    }

    private get attempt(): Attempt | undefined {
        const { current } = this.sequence;
        return current && this.attempts.get(current.number);
    }

    private get liveAttempts(): readonly Attempt[] {
        return [...this.attempts.values()];
    }

    private isLive(attempt: Attempt): boolean {
        return !this.isSettled && this.attempts.has(attempt.number);
    }

    private get mayHaveRun(): boolean {
        return this.sequence.mayHaveRun;
    }

    private advance(event: AttemptEvent): void {
        this.apply(event).forEach(command => this.execute(command));
    }

    /** Applies an event to the attempts and returns the commands that follow from it. */
    private apply(event: AttemptEvent): readonly AttemptCommand[] {
        const { state, commands } = advanceAttempts(this.sequence, event);
        this.sequence = state;
        this.lastTarget = this.attempt?.target ?? this.lastTarget;
        return commands;
    }

    private execute(command: AttemptCommand): void {
        switch (command.kind) {
            case "choose":
                if (command.purpose === "next") {
                    this.startNextAttempt();
                } else {
                    this.choose(command.purpose);
                }
                return;
            case "chooseNextAfter":
                this.wait(command.milliseconds, () => this.startNextAttempt());
                return;
            case "start":
                this.startPermitted(command.target, command.isBeside);
                return;
            case "pass":
                this.sendCompleteResponse(this.lastFailure!.head, this.lastFailure!.body, "failed");
                return;
            case "refuse":
                this.refuse(command.refusal);
                return;
            case "unknown":
                this.respondWithError(unknownResponse(command.reason));
                return;
            case "cut":
                this.abortResponse(command.reason);
                return;
            default:
                this.executeFor(this.attempts.get(command.attempt)!, command);
        }
    }

    private executeFor(
        attempt: Attempt,
        command: Extract<AttemptCommand, { readonly attempt: number }>,
    ): void {
        switch (command.kind) {
            case "checkSilence":
                this.checkSilence(attempt);
                return;
            case "checkSilenceAfter":
                this.wait(command.milliseconds, () => this.checkSilence(attempt));
                return;
            case "resumeTimeout":
                this.armAttemptTimer(attempt);
                return;
            case "checkSlownessAfter":
                this.checkSlownessAfter(attempt, command.milliseconds);
                return;
            case "supersede":
                attempt.call?.cancel();
                this.releaseAttempt(attempt);
                this.recordAttemptEnd(attempt, "superseded", "another replica made progress first");
                return;
            case "abandon":
                attempt.call?.cancel();
                this.endAttempt(attempt, "lost", command.reason);
        }
    }

    private wait(milliseconds: number, then: () => void): void {
        clearTimeout(this.waitTimer);
        this.waitTimer = setTimeout(then, milliseconds);
    }

    private choose(purpose: ChoicePurpose): void {
        if (this.isAwaitingPermit) {
            return;
        }
        const choice = this.withoutDeniedPermits(this.chooseReplica());
        this.advance({ kind: "chosen", purpose, choice, hasBegunResponse: this.callerResponse.hasBegun });
    }

    /** Ends the search for a replica whose permit comes in time after several denials. */
    private withoutDeniedPermits(choice: DispatchChoice): DispatchChoice {
        const needsPermit = choice.kind === "target" && choice.target.permit !== undefined;
        if (!needsPermit || this.deniedPermits < maximumDeniedPermits) {
            this.deniedPermits = needsPermit ? this.deniedPermits : 0;
            return choice;
        }
        this.deniedPermits = 0;
        const { waitMilliseconds } = choice.target.permit!;
        const retryAfterMilliseconds = Math.max(minimumPermitRetryAfterMilliseconds, waitMilliseconds);
        return { kind: "paused", retryAfterMilliseconds };
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

    private checkSilence(attempt: Attempt): void {
        if (!this.isLive(attempt)) {
            return;
        }
        const { group } = attempt.target;
        this.advance({
            kind: "silenceChecked",
            attempt: attempt.number,
            isDoubtful: group !== undefined && this.context.isDoubtful(group),
            silentMilliseconds: this.now() - attempt.lastProgressAt,
            conditions: this.conditions(),
        });
    }

    private startNextAttempt(): void {
        clearTimeout(this.waitTimer);
        if (this.isSettled || this.sequence.current !== undefined || this.isAwaitingPermit) {
            return;
        }
        const endsAt = this.callerResponse.hasBegun
            ? undefined
            : this.context.crashAttribution.recordRequest(this.crashSubject, this.now());
        if (endsAt !== undefined) {
            this.cancelAttempts();
            this.refuseQuarantined(endsAt);
            return;
        }
        this.choose("next");
    }

    /** Starts an attempt, after its permit if the replica limits its requests; without one, chooses again. */
    private startPermitted(target: DispatchTarget, isBeside: boolean): void {
        if (target.permit === undefined) {
            this.startAttempt(target, isBeside);
            return;
        }
        this.isAwaitingPermit = true;
        const { current } = this.sequence;
        const onEnd = (isGranted: boolean): void => {
            this.isAwaitingPermit = false;
            if (this.isSettled || this.sequence.current?.number !== current?.number) {
                return;
            }
            if (isGranted) {
                this.startAttempt(target, isBeside);
            } else {
                this.deniedPermits += 1;
                this.choose(isBeside ? "beside" : "next");
            }
        };
        this.context.permits.request(target.instance, target.permit.patienceMilliseconds, onEnd);
    }

    private startAttempt(target: DispatchTarget, isBeside: boolean): void {
        const { context, admitted } = this;
        const { request, body } = admitted;
        const now = this.now();
        const number = this.sequence.attemptCount + 1;
        if (number > 1 && !context.retryWindowOf(admitted.service).tryTakeRetry(now)) {
            this.advance({ kind: "retryDenied", isBeside, conditions: this.conditions() });
            return;
        }
        if (isBeside) {
            this.recordSilence(this.attempt!);
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
        const attempt = createAttempt(number, target, now, inFlightId, response);
        this.attempts.set(number, attempt);
        this.advance({ kind: "started", isBeside, instance: instance.id });
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
                needsNewConnection: this.hasReceivedForeignResponse,
                mayStart: () =>
                    !context.isLeaving(instance) && !context.backPressure.isPaused(instance, this.now()),
            },
            {
                onWritten: () => this.advance({ kind: "written", attempt: number }),
                onHead: message => this.handleHead(attempt, message),
                onData: chunk => this.handleData(attempt, chunk),
                onEnd: () => this.handleEnd(attempt),
                onFailure: (message, delivery) => {
                    this.reportBrokenConnection(attempt, delivery !== "notSent");
                    this.endAttempt(attempt, outcomeByDelivery[delivery], message);
                },
                onWithheld: () =>
                    this.endAttempt(attempt, "withheld", "the replica wants no further requests"),
            },
        );
        this.armAttemptTimer(attempt);
    }

    private recordSilence(attempt: Attempt): void {
        clearTimeout(attempt.slowAttemptTimer);
        this.context.log.info("replica is silent; trying another one meanwhile", {
            ...describeRequest(this.admitted),
            instance: attempt.target.instance.id,
            group: attempt.target.group,
            attempt: attempt.number,
            lastEvent: this.lastEventId,
        });
    }

    private reportBrokenConnection(attempt: Attempt, mayHaveBeenSent: boolean): void {
        const now = this.now();
        const progress = mayHaveBeenSent ? crashProgressOf(attempt, now) : undefined;
        attempt.hasCrashedReplica = progress !== undefined;
        if (progress !== undefined) {
            const { id, status } = attempt.target.instance;
            const start = `${id} ${status.incarnation ?? ""}`;
            this.context.crashAttribution.recordCrash(this.crashSubject, start, progress, now);
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
        const hasFurtherAttempt = countPossibleRuns(this.sequence) + 1 < route.maximumAttempts;
        const timeout = attemptTimeoutMilliseconds(route, attempt.target.expectedMilliseconds);
        const hasBegun = attempt.hasReceivedEvents || this.callerResponse.hasBegun;
        if (hasFurtherAttempt && !hasBegun && timeout !== undefined) {
            this.checkSlownessAfter(attempt, attempt.sentAt + timeout - this.now());
        }
    }

    private checkSlownessAfter(attempt: Attempt, milliseconds: number): void {
        attempt.slowAttemptTimer = setTimeout(() => this.handleSlowAttempt(attempt), milliseconds);
    }

    private handleSlowAttempt(attempt: Attempt): void {
        const now = this.now();
        const { group } = attempt.target;
        const hasProgress =
            group !== undefined &&
            this.context.inFlightRequests.hasProgressedSince(group, now - recentProgressMilliseconds);
        const extensionMilliseconds = attemptExtensionMilliseconds(
            this.admitted.route,
            now - attempt.sentAt,
            hasProgress,
        );
        this.advance({
            kind: "slow",
            attempt: attempt.number,
            extensionMilliseconds,
            conditions: this.conditions(),
        });
    }

    private handleHead(attempt: Attempt, message: IncomingMessage): void {
        const head = this.context.wire.decodeResponse(message);
        this.noteReplicaState(attempt, head);
        this.handleParts(attempt, attempt.response.readHead(head));
    }

    private noteReplicaState({ target, sentAt }: Attempt, head: ResponseHead): void {
        const { backPressure, onLeaving, permits } = this.context;
        const { instance } = target;
        permits.recordResponse(instance, { requestsPerSecond: head.requestsPerSecond, sentAt });
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
                case "foreign":
                    this.hasReceivedForeignResponse = true;
                    attempt.call?.cancel();
                    this.endAttempt(attempt, "lost", part.reason);
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
        const isNew = event.id === undefined || this.lastEventId === undefined || event.id > this.lastEventId;
        this.advance({ kind: "eventReceived", attempt: attempt.number, isNew });
        if (!isNew) {
            return;
        }
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
        this.advance({ kind: "served", attempt: attempt.number });
        this.lastTarget = attempt.target;
        this.releaseAttempt(attempt);
        this.context.crashAttribution.recordSound(this.crashSubject, this.now());
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
        if (outcome === "notSent" || outcome === "dropped" || outcome === "lost") {
            this.context.replicaRecords.recordFailure(instance.id, this.now());
        }
        const mayCrashAnotherReplica = outcome === "lost" && this.mayCrashAnotherReplica(attempt);
        const commands = this.apply({
            kind: "ended",
            attempt: attempt.number,
            outcome,
            reason,
            conditions: { ...this.conditions(), mayCrashAnotherReplica },
        });
        this.recordAttemptEnd(attempt, outcome, reason);
        commands.forEach(command => this.execute(command));
    }

    private recordAttemptEnd(attempt: Attempt, outcome: AttemptOutcome | "superseded", reason: string): void {
        const { lastEventId } = this;
        const { possibleRuns } = this.sequence;
        recordAttemptEnd(this.context, this.admitted, attempt, {
            outcome,
            reason,
            lastEventId,
            possibleRuns,
            endedAt: this.now(),
        });
    }

    private conditions(): AttemptConditions {
        const { admitted, context } = this;
        const now = this.now();
        return {
            repeatability: admitted.route.repeatability,
            isResumable: admitted.route.isResumable,
            maximumAttempts: admitted.route.maximumAttempts,
            hasBegunResponse: this.callerResponse.hasBegun,
            remainingMilliseconds: admitted.deadline - now,
            hasRetryBudget: context.retryWindowOf(admitted.service).availableRetries(now) > 0,
            mayCrashAnotherReplica: false,
        };
    }

    private mayCrashAnotherReplica({ hasCrashedReplica }: Attempt): boolean {
        return hasCrashedReplica && this.context.crashAttribution.isSuspect(this.crashSubject, this.now());
    }

    private releaseAttempt(attempt: Attempt): void {
        clearTimeout(attempt.slowAttemptTimer);
        const { instance, group } = attempt.target;
        this.context.replicaRecords.endRequest(instance.id);
        if (group !== undefined && attempt.inFlightId !== undefined) {
            this.context.inFlightRequests.end(group, attempt.inFlightId);
        }
        this.attempts.delete(attempt.number);
    }

    private refuse(refusal: Refusal): void {
        const { arrivedAt, deadline, request } = this.admitted;
        // The caller waits for its own time, which may be longer than the route's.
        const callerDeadline = arrivedAt + (request.timeoutMilliseconds ?? deadline - arrivedAt);
        const remaining = callerDeadline - this.now();
        this.respondWithError(refusedResponse(refusal, this.context.random(), remaining));
    }

    /** Cancels all attempts at their replicas. */
    private cancelAttempts(): void {
        const attempts = this.liveAttempts;
        this.advance({ kind: "cancelled" });
        attempts.forEach(attempt => {
            attempt.call?.cancel();
            this.releaseAttempt(attempt);
        });
    }

    private respondWithError({ status, outcome, reason, headers }: ErrorResponse): void {
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
        const { lastTarget } = this;
        const { attemptCount, possibleRuns } = this.sequence;
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
