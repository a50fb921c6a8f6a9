/**
 * Decisions of one entry process about completion requests: admission, routing, retries and answers. The coordinator
 * performs no input or output and reads no clock: its methods take events with the current time (local monotonic
 * milliseconds) and return commands.
 */
import type { EngineEvent } from "../contracts/engines.js";
import type { StartedRequest } from "./admission.js";
import type { AnswerStart, EntryCommand, EntryOptions, HeldStream } from "./entry-commands.js";
import { EntryRequest, quarantineFault } from "./entry-request.js";
import type { GuardedRequest } from "./crash-guard.js";
import { toGuardedCompletion } from "./crash-guard.js";
import type { Fault } from "./errors.js";
import type { EventBody } from "./events.js";
import type { CompletionRequest, RequestId } from "./requests.js";

/** Maximum time between two ticks, in milliseconds; each tick checks waiting requests and lost members. */
export const maximumTickIntervalMilliseconds = 50;

/** Added to the attempt number when a caller reattaches, to exceed all attempts that its former entry process may begin. */
const reattachAttemptOffset = 1_000;

/** Coordinates all completion requests of one entry process. */
export class CompletionCoordinator {
    private readonly requests = new Map<RequestId, EntryRequest>();
    private commands: EntryCommand[] = [];
    private isStartingRequests = false;

    private constructor(private readonly options: EntryOptions) {}

    public static create(options: EntryOptions): CompletionCoordinator {
        return new CompletionCoordinator(options);
    }

    /** Number of requests that have not ended. */
    public get size(): number {
        return this.requests.size;
    }

    /** Handles a new request, or one that a returning caller sent again with the text that it has received. */
    public handleRequest(
        request: CompletionRequest,
        start: AnswerStart,
        now: number,
    ): readonly EntryCommand[] {
        const { id, caller, model, promptTokens, maximumTokens: expectedTokens, deadline } = request;
        this.record({ kind: "requestReceived", request: id, team: caller.team, target: model });
        const guarded = toGuardedCompletion(request);
        const quarantinedUntil = this.options.crashGuard.quarantinedUntil(guarded, now);
        if (quarantinedUntil !== undefined) {
            this.refuse(request, quarantineFault(start, quarantinedUntil));
            return this.takeCommands();
        }
        const offered = { id, caller, model, promptTokens, expectedTokens, deadline };
        const offer = this.options.admission.offer(offered, now);
        if (offer.kind === "refused") {
            this.refuse(request, offer.fault);
            return this.takeCommands();
        }
        this.options.retries.recordFirstAttempt();
        const entry = this.create(request, start, guarded);
        this.startQueuedRequests(now);
        if (!entry.isStarted()) {
            this.record({ kind: "requestQueued", request: id, team: caller.team });
        }
        return this.takeCommands();
    }

    /** Reattaches a caller whose stream may still be on an engine. It is not queued, since its request already runs. */
    public reattach(
        request: CompletionRequest,
        start: AnswerStart,
        held: HeldStream,
        now: number,
    ): readonly EntryCommand[] {
        this.requests.get(request.id)?.release(now);
        this.create(request, start).attach(
            held.group,
            held.leader,
            held.attempt + reattachAttemptOffset,
            now,
        );
        return this.takeCommands();
    }

    /** Handles an event of an engine's stream. */
    public handleEngineEvent(
        id: RequestId,
        attempt: number,
        event: EngineEvent,
        now: number,
    ): readonly EntryCommand[] {
        this.requests.get(id)?.handleEngineEvent(attempt, event, now);
        return this.takeCommands();
    }

    /** Records that the caller has taken every token before `offset`. */
    public recordTaken(id: RequestId, offset: number, now: number): readonly EntryCommand[] {
        this.requests.get(id)?.recordTaken(offset, now);
        return this.takeCommands();
    }

    /** Records that the caller has disconnected. A stream is kept for the resume window; a queued request is dropped. */
    public recordDisconnect(id: RequestId, now: number): readonly EntryCommand[] {
        const entry = this.requests.get(id);
        if (entry?.isStarted() === true) {
            entry.recordDisconnect(now);
        } else if (entry !== undefined) {
            this.options.admission.abandon(id, now);
            this.requests.delete(id);
        }
        return this.takeCommands();
    }

    /** Checks all deadlines, starts queued requests and moves streams away from groups that lost a member. */
    public tick(now: number): readonly EntryCommand[] {
        for (const refusal of this.options.admission.expire(now)) {
            this.refuseQueued(refusal.id, refusal.fault);
        }
        for (const entry of [...this.requests.values()]) {
            entry.moveIfMemberMissing(now);
            entry.tick(now);
        }
        this.startQueuedRequests(now);
        return this.takeCommands();
    }

    /** Returns the time of the next required tick, in local monotonic milliseconds. */
    public nextTick(now: number): number {
        let next = now + maximumTickIntervalMilliseconds;
        for (const entry of this.requests.values()) {
            next = Math.min(next, entry.nextTick() ?? next);
        }
        return Math.max(next, now + 1);
    }

    private create(
        request: CompletionRequest,
        start: AnswerStart,
        guarded: GuardedRequest = toGuardedCompletion(request),
    ): EntryRequest {
        const entry = EntryRequest.create(request, start, guarded, {
            options: this.options,
            emit: command => this.commands.push(command),
            onEnded: (endedRequest, now) => this.handleEnded(endedRequest, now),
        });
        this.requests.set(request.id, entry);
        return entry;
    }

    private handleEnded(entry: EntryRequest, now: number): void {
        this.requests.delete(entry.request.id);
        this.options.admission.finish(entry.request.id, now);
        this.startQueuedRequests(now);
    }

    /** Starts queued requests while replicas have capacity. */
    private startQueuedRequests(now: number): void {
        if (this.isStartingRequests) {
            return;
        }
        this.isStartingRequests = true;
        const { admission, router } = this.options;
        const capacityOf = (model: string, borrowed: boolean): number =>
            router.capacity(model, borrowed, now);
        for (const started of admission.takeStartable(now, capacityOf)) {
            this.start(started, now);
        }
        this.isStartingRequests = false;
    }

    private start(started: StartedRequest, now: number): void {
        const { id } = started;
        const entry = this.requests.get(id);
        if (entry === undefined) {
            this.options.admission.finish(id, now);
            return;
        }
        const quarantined = entry.quarantineFault(now);
        if (quarantined !== undefined) {
            this.options.admission.finish(id, now);
            this.refuseQueued(id, quarantined);
        } else if (!entry.tryStart(started, now)) {
            this.options.admission.requeue(id, now);
        }
    }

    private refuseQueued(id: RequestId, fault: Fault): void {
        const entry = this.requests.get(id);
        if (entry !== undefined) {
            this.requests.delete(id);
            this.refuse(entry.request, fault);
        }
    }

    private refuse(request: CompletionRequest, fault: Fault): void {
        const { code, notRun } = fault;
        this.record({ kind: "requestRefused", request: request.id, team: request.caller.team, code, notRun });
        this.commands.push({ kind: "fail", request: request.id, fault });
    }

    private record(event: EventBody): void {
        this.commands.push({ kind: "record", event });
    }

    private takeCommands(): readonly EntryCommand[] {
        const commands = this.commands;
        this.commands = [];
        return commands;
    }
}
