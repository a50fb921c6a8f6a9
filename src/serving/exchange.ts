/**
 * Proxies one caller request from its admission to the last byte of the response: tries replicas one after the other
 * and relays the replica's response unchanged. An event stream may be resumed at another replica within one response.
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { Delivery, UpstreamCall, UpstreamObserver } from "../links/upstream-pools.js";
import type { AttemptOutcome } from "./attempt-decision.js";
import type { AttemptCommand, AttemptConditions, AttemptEvent, ChoicePurpose } from "./attempt-sequence.js";
import { advanceAttempts, countPossibleRuns, isRepetition, noAttempts } from "./attempt-sequence.js";
import { CallerResponse } from "./caller-response.js";
import { isRetryable } from "./serving-configuration.js";
import type { CrashSubject } from "./crash-attribution.js";
import { requestTrait, resourceTrait } from "./crash-causes.js";
import type {
    AttemptChoice,
    AttemptTarget,
    DispatchChoice,
    DispatchTarget,
    PeerTarget,
} from "./dispatcher.js";
import { targetId } from "./dispatcher.js";
import type { ErrorResponse, Refusal } from "./error-responses.js";
import { expiredResponse, quarantinedResponse, refusedResponse, unknownResponse } from "./error-responses.js";
import { arrivingRequestOf } from "./fairness/exchange-sharing.js";
import type { SharingSubject } from "./fairness/sharing-subject.js";
import type { FleetInstance } from "./fleets.js";
import { encodeForwardedRequest, forwardReplyHeaders, readForwardReply } from "./forwarded-requests.js";
import type { StreamEvent } from "./event-splitter.js";
import type { Attempt } from "./exchange-attempt.js";
import { crashProgressOf, createAttempt, recordEventIds, runsOf } from "./exchange-attempt.js";
import type { AdmittedRequest, ExchangeContext } from "./exchange-context.js";
import {
    describeRequest,
    recordArrivedWork,
    recordAttemptEnd,
    recordExchangeEnd,
    recordRefusedWork,
} from "./exchange-reporting.js";
import {
    attemptTimeoutMilliseconds,
    attemptExtensionMilliseconds,
    recentProgressMilliseconds,
} from "./attempt-timeouts.js";
import { ReadPace } from "./read-pace.js";
import { ExpectedOutput } from "./routing/expected-output.js";
import { slotWaitMilliseconds } from "./routing/slot-wait.js";
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
/** Delay between attempts at replicas that cannot be reached, in milliseconds. */
const linkDoubtDelayMilliseconds = 60;
/** Maximum number of entry instances to which one request is forwarded, one after the other. */
const maximumForwards = 3;
/** Number of denied permits after which a request is refused. */
const maximumDeniedPermits = 5;
/** Minimum Retry-After of a request that was denied its permits, in milliseconds. */
const minimumPermitRetryAfterMilliseconds = 100;
/** Maximum number of events that a response may send again. A resumed stream may begin again from its first event. */
const maximumRepeatedEvents = 64;
/** Rank of the requests that a replica handles last. */
const lowestRank = 9;

export class Exchange {
    /** What is decided about the attempts; input and output of the live ones are in `attempts`. */
    private sequence = noAttempts;
    /** Live attempts by number. */
    private readonly attempts = new Map<number, Attempt>();
    private readonly triedInstances = new Set<string>();
    private lastEventId: number | undefined;
    private lastTarget: AttemptTarget | undefined;
    /** What decides whether the request goes first while capacity is short, from its first choice on. */
    private sharingSubject: SharingSubject | undefined;
    /** Names of the entry instances that the request was forwarded to. */
    private readonly triedPeers = new Set<string>();
    private lastFailure: { readonly head: ResponseHead; readonly body: Buffer } | undefined;
    private isSettled = false;
    private isAwaitingPermit = false;
    /** Denied permits since the last choice of a replica that needs none. */
    private deniedPermits = 0;
    /** True if a connection that was reused for this request carried a late response to another request. */
    private hasReceivedForeignResponse = false;
    /** Connections that have carried this request to replicas and to other entry instances. */
    private readonly usedConnections = new WeakSet<Socket>();
    private readonly callerResponse: CallerResponse;
    private readonly output: ExpectedOutput | undefined;
    /** Head of the replica's response that the caller has begun to receive. */
    private begunHead: ResponseHead | undefined;
    private readonly deadlineTimer: NodeJS.Timeout;
    private waitTimer: NodeJS.Timeout | undefined;

    private constructor(
        private readonly context: ExchangeContext,
        private readonly admitted: AdmittedRequest,
        response: ServerResponse,
    ) {
        this.callerResponse = CallerResponse.create(response, context.isStopping, () =>
            this.liveAttempts.forEach(({ call }) => call?.pause()),
        );
        this.output = ExpectedOutput.create(context.outputPredictor, admitted);
        this.lastEventId = admitted.request.lastEventId;
        admitted.forwarded?.triedInstances.forEach(id => this.triedInstances.add(id));
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
        const exchange = new Exchange(context, admitted, response);
        if (admitted.forwarded === undefined) {
            context.retryWindowOf(admitted.service).recordRequest(exchange.now());
        }
        recordArrivedWork(context, admitted);
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

    /**
     * Tries a request elsewhere whose links to replicas are lost. A request that another entry instance forwarded is
     * returned to it.
     */
    public handleLostLinks(service: string): void {
        const { attempt, admitted } = this;
        if (this.isSettled || attempt?.target.peer !== undefined || admitted.service !== service) {
            return;
        }
        if (admitted.forwarded !== undefined) {
            this.returnToSender();
        } else if (attempt !== undefined && admitted.route.repeatability === "stream") {
            this.checkSilence(attempt);
        } else if (attempt !== undefined) {
            this.advance({
                kind: "slow",
                attempt: attempt.number,
                extensionMilliseconds: 0,
                conditions: this.conditions(),
            });
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

    private returnToSender(): void {
        if (!this.liveAttempts.some(({ hasReceivedEvents }) => hasReceivedEvents)) {
            this.terminate("the links to the replicas are lost");
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

    private get isCutOff(): boolean {
        return this.context.forwarding.isCutOff(this.admitted.service);
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
    private withoutDeniedPermits(choice: AttemptChoice): AttemptChoice {
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

    private chooseReplica(): AttemptChoice {
        const { service, request, arrivedAt, route, forwarded } = this.admitted;
        const { dispatcher, forwarding } = this.context;
        const peer = forwarded === undefined ? this.choosePeer(undefined) : undefined;
        if (peer !== undefined) {
            return peer;
        }
        const isEngine = this.admitted.table.findService(service)?.engine !== undefined;
        const objective = route.objectiveMilliseconds;
        const choice = dispatcher.choose({
            service,
            work: isEngine ? request.work : undefined,
            output: this.output?.remaining,
            triedInstances: this.triedInstances,
            objectiveDeadline: arrivedAt + objective,
            firstEventDeadline:
                arrivedAt +
                Math.max(minimumFirstEventTimeoutMilliseconds, firstEventTimeoutObjectives * objective),
            isResumed: this.isResumed,
            subject: this.subjectOfSharing(),
        });
        if (forwarded !== undefined) {
            return forwarding.isCutOff(service) ? { kind: "none" } : choice;
        }
        return this.choosePeer(choice) ?? choice;
    }

    /** Returns the request as capacity is shared, recorded at its first choice; undefined if no replica group serves it. */
    private subjectOfSharing(): SharingSubject | undefined {
        if (this.sharingSubject === undefined) {
            const arriving = arrivingRequestOf(this.admitted);
            this.sharingSubject = arriving && this.context.sharing.recordArrival(arriving);
        }
        return this.sharingSubject;
    }

    /** Chooses an entry instance that is to run the request, if this one cannot reach the replicas. */
    private choosePeer(
        choice: DispatchChoice | undefined,
    ): Extract<AttemptChoice, { readonly kind: "target" }> | undefined {
        if (this.triedPeers.size >= maximumForwards) {
            return undefined;
        }
        const peer = this.context.forwarding.choosePeer(this.admitted.service, this.triedPeers, choice);
        if (peer === undefined) {
            return undefined;
        }
        const target: PeerTarget = {
            peer,
            group: undefined,
            model: undefined,
            expectedMilliseconds: this.admitted.route.objectiveMilliseconds,
            fleetRevision: 0,
            isDeferred: false,
        };
        return { kind: "target", target };
    }

    /** True if the caller is already reading the response. */
    private get isResumed(): boolean {
        return this.callerResponse.hasBegun || this.admitted.forwarded?.hasBegunResponse === true;
    }

    private checkSilence(attempt: Attempt): void {
        if (!this.isLive(attempt)) {
            return;
        }
        const { group, peer } = attempt.target;
        const isLinkLost = peer === undefined && this.isCutOff;
        this.advance({
            kind: "silenceChecked",
            attempt: attempt.number,
            isDoubtful: isLinkLost || (group !== undefined && this.context.isDoubtful(group)),
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
    private startPermitted(target: AttemptTarget, isBeside: boolean): void {
        if (target.permit === undefined) {
            this.startAttempt(target, isBeside);
            return;
        }
        this.isAwaitingPermit = true;
        const { current } = this.sequence;
        const onEnd = (isGranted: boolean, expiresAt: number): void => {
            this.isAwaitingPermit = false;
            if (this.isSettled || this.sequence.current?.number !== current?.number) {
                return;
            }
            if (isGranted) {
                this.startAttempt(target, isBeside, expiresAt);
            } else {
                this.deniedPermits += 1;
                this.choose(isBeside ? "beside" : "next");
            }
        };
        this.context.permits.request(target.instance, target.permit.patienceMilliseconds, onEnd);
    }

    /** `permitExpiresAt`: local monotonic milliseconds; undefined if the replica needs no permit. */
    private startAttempt(target: AttemptTarget, isBeside: boolean, permitExpiresAt?: number): void {
        const { context, admitted } = this;
        const now = this.now();
        const number = this.sequence.attemptCount + 1;
        if (isRepetition(this.sequence) && !context.retryWindowOf(admitted.service).tryTakeRetry(now)) {
            this.advance({ kind: "retryDenied", isBeside, conditions: this.conditions() });
            return;
        }
        if (isBeside) {
            this.recordSilence(this.attempt!);
        }
        const { group } = target;
        if (number === 1 && group !== undefined && this.sharingSubject !== undefined) {
            context.sharing.recordStart(this.sharingSubject, target.isDeferred);
        }
        const tokens = admitted.request.work?.promptTokens ?? 0;
        const remainingRuns = admitted.route.maximumAttempts - countPossibleRuns(this.sequence);
        const attempt = createAttempt({
            number,
            target,
            sentAt: now,
            inFlightId:
                group === undefined
                    ? undefined
                    : context.inFlightRequests.start(
                          group,
                          tokens,
                          now,
                          target.isDeferred,
                          this.output?.remaining,
                      ),
            maximumRuns: target.peer === undefined ? 1 : Math.max(1, remainingRuns - (isBeside ? 1 : 0)),
            response: ReplicaResponse.create({
                requestId: admitted.request.id,
                isStream: admitted.route.repeatability === "stream",
            }),
            pace: ReadPace.create(context.readPace, now),
        });
        this.attempts.set(number, attempt);
        this.advance({ kind: "started", isBeside, instance: targetId(target) });
        context.log.debug("request sent to replica", {
            ...describeRequest(admitted),
            instance: target.instance?.id,
            peer: target.peer?.name,
            group,
            attempt: attempt.number,
        });
        attempt.call =
            target.peer === undefined
                ? this.sendToReplica(attempt, target, permitExpiresAt)
                : this.forward(attempt, target);
        this.armAttemptTimer(attempt);
    }

    private sendToReplica(
        attempt: Attempt,
        target: DispatchTarget,
        permitExpiresAt: number | undefined,
    ): UpstreamCall {
        const { context, admitted } = this;
        const { request, body } = admitted;
        const { instance } = target;
        const requestIdHeader = context.wire.requestIdHeader.toLowerCase();
        this.triedInstances.add(instance.id);
        context.replicaRecords.startRequest(instance.id);
        context.backPressure.recordSend(instance.id, attempt.sentAt);
        const headers = context.wire.encodeReplicaRequest(request, {
            instance: instance.id,
            remainingMilliseconds: admitted.deadline - attempt.sentAt,
            workspace: admitted.workspace,
            lastEventId: this.lastEventId,
            rank: this.rankFor(target),
            bodyBytes: body?.length,
        });
        const outgoing = {
            address: instance.address,
            method: request.method,
            target: request.target,
            headers,
            body,
            isRetryable: isRetryable(admitted.route),
            needsNewConnection: this.hasReceivedForeignResponse,
            usedConnections: this.usedConnections,
            namesRequest: ({ headers: { [requestIdHeader]: id } }: IncomingMessage) => id !== undefined,
            mayStart: () =>
                !context.isLeaving(instance) &&
                !context.isEvacuated(instance) &&
                context.permits.mayWrite(instance, permitExpiresAt) &&
                !context.backPressure.isPaused(instance, this.now()),
        };
        return context.upstreams.send(instance.id, outgoing, this.observe(attempt));
    }

    /** Forwards the request to another entry instance, which makes the attempts at replicas that are left. */
    private forward(attempt: Attempt, { peer }: PeerTarget): UpstreamCall {
        const { context, admitted } = this;
        this.triedPeers.add(peer.name);
        context.metrics.forwardedRequests.inc({ direction: "sent" });
        const body = encodeForwardedRequest(admitted, {
            from: context.forwarding.name,
            maximumRuns: attempt.maximumRuns,
            lastEventId: this.lastEventId,
            triedInstances: [...this.triedInstances],
            hasBegunResponse: this.callerResponse.hasBegun,
            now: attempt.sentAt,
        });
        const { usedConnections } = this;
        const outgoing = { body, isRetryable: isRetryable(admitted.route), usedConnections };
        return context.forwarding.send(peer, outgoing, this.observe(attempt));
    }

    private observe(attempt: Attempt): UpstreamObserver {
        return {
            onWritten: () => this.advance({ kind: "written", attempt: attempt.number }),
            onHead: message => this.handleHead(attempt, message),
            onData: chunk => this.handleData(attempt, chunk),
            onEnd: () => this.handleEnd(attempt),
            onFailure: (message, delivery) => {
                this.reportBrokenConnection(attempt, delivery !== "notSent");
                if (attempt.target.peer === undefined && delivery !== "dropped") {
                    this.context.permits.recordBrokenConnection(attempt.target.instance);
                }
                this.endAttempt(attempt, outcomeByDelivery[delivery], message);
            },
            onWithheld: () => this.endAttempt(attempt, "withheld", "the replica takes no further requests"),
        };
    }

    private recordSilence(attempt: Attempt): void {
        clearTimeout(attempt.slowAttemptTimer);
        this.context.log.info("replica is silent; trying another one meanwhile", {
            ...describeRequest(this.admitted),
            instance: attempt.target.instance?.id,
            peer: attempt.target.peer?.name,
            group: attempt.target.group,
            attempt: attempt.number,
            lastEvent: this.lastEventId,
        });
    }

    private reportBrokenConnection(attempt: Attempt, mayHaveBeenSent: boolean): void {
        const now = this.now();
        const progress = mayHaveBeenSent ? crashProgressOf(attempt, now) : undefined;
        attempt.hasCrashedReplica = progress !== undefined && attempt.target.peer === undefined;
        const { instance } = attempt.target;
        // The entry instance that a request was forwarded to reports its crashes, and lost links are no crashes.
        if (progress !== undefined && instance !== undefined && !this.isCutOff) {
            const { id, status } = instance;
            const start = `${id} ${status.incarnation ?? ""}`;
            this.context.crashAttribution.recordCrash(this.crashSubject, start, progress, now);
        }
    }

    /**
     * Ranks a stream that the caller is already reading first, and a request that is expected to miss its objective
     * last.
     */
    private rankFor({ isDeferred }: DispatchTarget): number {
        if (this.isResumed) {
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
        const decoded = this.context.wire.decodeResponse(message);
        if (attempt.target.peer === undefined) {
            this.noteReplicaState(attempt, attempt.target.instance, decoded);
            this.handleParts(attempt, attempt.response.readHead(decoded));
            return;
        }
        attempt.forwardReply = readForwardReply(message.headers, decoded.isSigned);
        // The state of the replica concerns the entry instance that received the response from it.
        const isStatedNotRun = attempt.forwardReply.outcome !== undefined;
        const pauseMilliseconds = isStatedNotRun ? decoded.pauseMilliseconds : undefined;
        const head = { ...decoded, isStatedNotRun, pauseMilliseconds };
        this.handleParts(attempt, attempt.response.readHead(head));
    }

    private noteReplicaState({ sentAt }: Attempt, instance: FleetInstance, head: ResponseHead): void {
        const { backPressure, onLeaving, permits, forwarding } = this.context;
        forwarding.recordHeard(instance);
        const { requestsPerSecond, coldMilliseconds } = head;
        permits.recordResponse(instance, { requestsPerSecond, coldMilliseconds, sentAt });
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
        if (!this.isLive(attempt)) {
            return;
        }
        attempt.pace.record(1);
        this.handleParts(attempt, attempt.response.readData(chunk));
        this.recordBuffered();
        attempt.call?.deferWhile(() => attempt.pace.deferralMilliseconds(this.now()));
    }

    private recordBuffered(): void {
        const { recordBuffered } = this.admitted;
        if (recordBuffered !== undefined) {
            recordBuffered(this.liveAttempts.reduce((sum, { response }) => sum + response.heldBytes, 0));
        }
    }

    private handleParts(attempt: Attempt, parts: readonly ResponsePart[]): void {
        for (const part of parts) {
            switch (part.kind) {
                case "events":
                    this.relayEvents(attempt, part.head, part.events);
                    break;
                case "bytes":
                    this.relayBytes(part.head, part.bytes);
                    break;
                case "foreign":
                    this.hasReceivedForeignResponse = true;
                    this.abandon(attempt, part.reason);
                    break;
                case "unusable":
                    this.abandon(attempt, part.reason);
            }
        }
    }

    /** Ends an attempt whose response is of no use any more. */
    private abandon(attempt: Attempt, reason: string): void {
        attempt.call?.cancel();
        this.endAttempt(attempt, "lost", reason);
    }

    private relayEvents(attempt: Attempt, head: ResponseHead, events: readonly StreamEvent[]): void {
        const now = this.now();
        const { target } = attempt;
        const { group, instance } = target;
        attempt.lastProgressAt = now;
        if (instance !== undefined) {
            this.context.forwarding.recordHeard(instance);
        }
        if (group !== undefined && attempt.inFlightId !== undefined) {
            const tokens = this.output?.tokensIn(events.length);
            this.context.inFlightRequests.recordProgress(group, attempt.inFlightId, now, tokens);
        }
        if (!attempt.hasReceivedEvents) {
            attempt.hasReceivedEvents = true;
            attempt.firstEventAt = now;
            clearTimeout(attempt.slowAttemptTimer);
            this.recordSuccess(attempt);
            if (!this.callerResponse.hasBegun && target.peer === undefined) {
                this.context.dispatcher.recordFirstEvent(target, now - attempt.sentAt);
            }
        }
        attempt.pace.record(events.length);
        if (!this.continuesResponse(head)) {
            this.abandon(attempt, "the response does not continue the stream that has begun");
            return;
        }
        const newEvents = events.filter(({ id }) => this.advancesTo(id));
        this.output?.recordEvents(newEvents.length);
        this.advance({ kind: "eventReceived", attempt: attempt.number, isNew: newEvents.length > 0 });
        if (newEvents.length > 0) {
            this.begin(head, undefined);
            newEvents.forEach(({ bytes }) => this.callerResponse.write(bytes));
        }
        recordEventIds(attempt, events);
        if (attempt.repeatedEvents > maximumRepeatedEvents) {
            this.abandon(attempt, "the response repeats events that it has sent before");
        }
    }

    /** True if a success may follow what the caller has received: another kind of success is no rest of the same stream. */
    private continuesResponse({ status, mediaType }: ResponseHead): boolean {
        const { begunHead } = this;
        return begunHead === undefined || (begunHead.status === status && begunHead.mediaType === mediaType);
    }

    private begin(head: ResponseHead, length: number | undefined): void {
        this.begunHead ??= head;
        this.callerResponse.begin(head, length, this.now());
    }

    /** True if the caller has not received an event with the id; it counts as received from then on. */
    private advancesTo(id: number | undefined): boolean {
        const isNew = id === undefined || this.lastEventId === undefined || id > this.lastEventId;
        this.lastEventId = isNew ? (id ?? this.lastEventId) : this.lastEventId;
        return isNew;
    }

    private relayBytes(head: ResponseHead, bytes: Buffer): void {
        this.begin(head, undefined);
        this.callerResponse.write(bytes);
    }

    private handleEnd(attempt: Attempt): void {
        if (!this.isLive(attempt)) {
            return;
        }
        const end = attempt.response.readEnd();
        if (end.kind === "complete" && !this.continuesResponse(end.head)) {
            this.endAttempt(attempt, "lost", "the response does not continue the stream that has begun");
            return;
        }
        if (end.kind === "complete") {
            this.handleSuccessfulEnd(attempt, end.head, end.body);
            return;
        }
        const { instance } = attempt.target;
        if (end.kind === "refused" && end.head.status === misdirectedStatus && instance !== undefined) {
            this.context.replicaRecords.recordMisdirected(instance.id, this.now());
        } else if (end.kind === "failed") {
            this.lastFailure = end;
        }
        const isUnavailable = attempt.forwardReply?.outcome === "unavailable";
        this.endAttempt(attempt, isUnavailable ? "withheld" : end.kind, end.reason);
    }

    private handleSuccessfulEnd(attempt: Attempt, head: ResponseHead, body: Buffer): void {
        this.advance({ kind: "served", attempt: attempt.number });
        this.lastTarget = attempt.target;
        this.releaseAttempt(attempt);
        this.context.crashAttribution.recordSound(this.crashSubject, this.now());
        this.recordSuccess(attempt);
        this.recordOutput();
        this.context.metrics.attempts.inc({ service: this.admitted.service, outcome: "served" });
        if (this.callerResponse.hasBegun) {
            this.settle("served", {});
            this.callerResponse.end();
            return;
        }
        this.sendCompleteResponse(head, body, "served");
    }

    private recordSuccess({ target, sentAt }: Attempt): void {
        if (target.instance !== undefined) {
            this.context.replicaRecords.recordSuccess(target.instance.id, this.now() - sentAt);
        }
    }

    private recordOutput(): void {
        const ratio = this.output?.recordEnd();
        if (ratio !== undefined) {
            this.context.metrics.outputRatio.observe(ratio);
        }
    }

    private sendCompleteResponse(head: ResponseHead, body: Buffer, outcome: string): void {
        this.begin(head, body.length);
        this.settle(outcome, { status: head.status });
        this.callerResponse.end(body);
    }

    /** Ends an attempt and decides the next step. */
    private endAttempt(attempt: Attempt, outcome: AttemptOutcome, reason: string): void {
        if (!this.isLive(attempt)) {
            return;
        }
        this.releaseAttempt(attempt);
        const hasFailed = outcome === "notSent" || outcome === "dropped" || outcome === "lost";
        this.recordLinkEnd(attempt, outcome, hasFailed);
        const mayCrashAnotherReplica = outcome === "lost" && this.mayCrashAnotherReplica(attempt);
        const commands = this.apply({
            kind: "ended",
            attempt: attempt.number,
            outcome,
            reason,
            conditions: { ...this.conditions(), mayCrashAnotherReplica },
            runs: runsOf(attempt, outcome),
            delayMilliseconds:
                outcome === "notSent" ? this.delayWithoutLinks() : this.delayForSlot(attempt, outcome),
            retryAfterMilliseconds:
                attempt.target.peer === undefined ? undefined : attempt.head?.pauseMilliseconds,
        });
        this.recordAttemptEnd(attempt, outcome, reason);
        commands.forEach(command => this.execute(command));
    }

    /** Delay in which another entry instance may state that it reaches the replicas; undefined while links are sound. */
    private delayWithoutLinks(): number | undefined {
        const { admitted, context } = this;
        const isInDoubt = admitted.forwarded === undefined && context.forwarding.isInDoubt(admitted.service);
        return isInDoubt ? linkDoubtDelayMilliseconds : undefined;
    }

    /** Delay until a plain replica that was full has free slots; undefined if the next attempt needs none. */
    private delayForSlot({ target, head }: Attempt, outcome: AttemptOutcome): number | undefined {
        const { route, arrivedAt } = this.admitted;
        const isFull =
            outcome === "refused" &&
            head?.pauseMilliseconds === undefined &&
            head?.status !== misdirectedStatus;
        if (!isFull || target.instance === undefined || target.group !== undefined) {
            return undefined;
        }
        return slotWaitMilliseconds({
            attemptCount: this.sequence.attemptCount,
            maximumAttempts: route.maximumAttempts,
            latencyMilliseconds: this.context.replicaRecords.meanLatencyOf(target.instance.id),
            objectiveMilliseconds: arrivedAt + route.objectiveMilliseconds - this.now(),
            random: this.context.random(),
        });
    }

    private recordLinkEnd({ target, head }: Attempt, outcome: AttemptOutcome, hasFailed: boolean): void {
        const { forwarding, replicaRecords } = this.context;
        if (target.peer !== undefined) {
            if (hasFailed || outcome === "withheld") {
                forwarding.recordPeerFailure(target.peer);
            }
            return;
        }
        if (hasFailed) {
            replicaRecords.recordFailure(target.instance.id, this.now());
        }
        if (outcome === "notSent") {
            forwarding.recordFailure(target.instance, "connect");
        } else if (outcome === "lost" && head === undefined) {
            forwarding.recordFailure(target.instance, "silence");
        }
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
        const { instance, group, peer } = attempt.target;
        if (instance !== undefined) {
            this.context.replicaRecords.endRequest(instance.id);
        }
        if (peer !== undefined) {
            this.context.forwarding.release(peer);
        }
        if (group !== undefined && attempt.inFlightId !== undefined) {
            this.context.inFlightRequests.end(group, attempt.inFlightId);
        }
        this.attempts.delete(attempt.number);
        this.recordBuffered();
    }

    private refuse(refusal: Refusal): void {
        recordRefusedWork(this.context, this.admitted, this.now());
        const { arrivedAt, deadline, request } = this.admitted;
        // The caller waits for its own time, which may be longer than the route's.
        const callerDeadline = arrivedAt + (request.timeoutMilliseconds ?? deadline - arrivedAt);
        const remaining = callerDeadline - this.now();
        this.respondWithError(
            refusedResponse(this.withReturnPlace(refusal, remaining), this.context.random(), remaining),
        );
    }

    /** Returns a refusal for lack of capacity with the caller's own time to return. */
    private withReturnPlace(refusal: Refusal, remainingMilliseconds: number): Refusal {
        const { sharingSubject: subject } = this;
        if (refusal.shortage === undefined || subject === undefined) {
            return refusal;
        }
        const { sharing } = this.context;
        const milliseconds = sharing.recordRefusal(subject, refusal.shortage, remainingMilliseconds);
        return { ...refusal, retryAfter: { milliseconds, isExact: true } };
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
        const forwardHeaders =
            this.admitted.forwarded === undefined
                ? []
                : forwardReplyHeaders(status, outcome, this.sequence.possibleRuns);
        const allHeaders = [...idHeader, ...headers, ...forwardHeaders];
        this.callerResponse.sendError(status, { message: reason, outcome }, allHeaders);
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
