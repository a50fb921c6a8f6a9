/**
 * One completion request at one entry process, from its start on a replica to its end. Tracks which replica holds its
 * stream, and decides where the stream continues after a loss. Times are local monotonic milliseconds.
 */
import type { EngineEvent } from "../contracts/engines.js";
import type { StartedRequest } from "./admission.js";
import type { AnswerCommand, AnswerStep } from "./answer-commands.js";
import { AnswerLog } from "./answer-log.js";
import type { AnswerStart, EntryCommand, EntryOptions } from "./entry-commands.js";
import type { ReplicaChoice, DispatchOutcome } from "./replica-assignment.js";
import { ReplicaAssignment } from "./replica-assignment.js";
import type { GuardedRequest } from "./crash-guard.js";
import type { Fault } from "./errors.js";
import type { EventBody } from "./events.js";
import type { Instance } from "./instances.js";
import type { ReplicaGroup } from "./replica-groups.js";
import type { CompletionRequest } from "./requests.js";
import type { RouteRequest } from "./router.js";

/** Options of an entry request, and the functions that receive its commands and its end. */
export interface EntryRequestContext {
    readonly options: EntryOptions;
    readonly emit: (command: EntryCommand) => void;
    /**
     * Called exactly once: before the final "finish" or "fail" command, or after the "detach" command of `release`. Not
     * called for a request that the coordinator refuses or drops while it is queued.
     */
    readonly onEnded: (request: EntryRequest, now: number) => void;
}

type RestartCommand = Extract<AnswerCommand, { kind: "restart" }>;
type DeliverCommand = Extract<AnswerCommand, { kind: "deliver" }>;

/** Returns the fault of a request that must not be sent, because its repetitions crash engines. */
export function quarantineFault({ fromOffset }: AnswerStart, retryAt: number): Fault {
    const message = "repetitions of this request crashed the engines that ran them; retry later";
    return { code: "quarantined", message, step: "route", notRun: fromOffset === 0, retryAt };
}

/** A completion request and the stream of its answer. */
export class EntryRequest {
    private answerLog: AnswerLog | undefined;
    private nextTickAt: number | undefined;
    private readonly assignment: ReplicaAssignment;
    /** A restart for which no replica was available yet. */
    private pendingRestart: RestartCommand | undefined;
    private hasFirstToken = false;
    private borrowed = false;
    /** True while the current attempt runs the request and has delivered no token. */
    private mayCrash = false;
    private hasResponseHead = false;
    /** True if an engine may have crashed since the last token. */
    private mayHaveCrashed = false;

    private constructor(
        private current: CompletionRequest,
        private readonly start: AnswerStart,
        private readonly guarded: GuardedRequest,
        private readonly context: EntryRequestContext,
    ) {
        this.assignment = ReplicaAssignment.create(context.options);
    }

    public static create(
        request: CompletionRequest,
        start: AnswerStart,
        guarded: GuardedRequest,
        context: EntryRequestContext,
    ): EntryRequest {
        return new EntryRequest(request, start, guarded, context);
    }

    /** The request, with the engine priority that admission assigned. */
    public get request(): CompletionRequest {
        return this.current;
    }

    /** True once the request was dispatched for the first time. */
    public isStarted(): boolean {
        return this.answerLog !== undefined;
    }

    /** Time of the next required tick; undefined while the request waits in admission. */
    public nextTick(): number | undefined {
        return this.nextTickAt;
    }

    /** The fault of a request that must not be sent, because its repetitions crash engines. */
    public quarantineFault(now: number): Fault | undefined {
        const until = this.context.options.crashGuard.quarantinedUntil(this.guarded, now);
        return until === undefined ? undefined : quarantineFault(this.start, until);
    }

    /** Dispatches the request to a replica; returns false if none is available. */
    public tryStart({ priority, borrowed }: StartedRequest, now: number): boolean {
        this.current = { ...this.current, priority };
        this.borrowed = borrowed;
        const chosen = this.assignment.choose(this.routeRequest(), now);
        if (chosen === undefined) {
            return false;
        }
        const { fromOffset, delivered } = this.start;
        const attempt = fromOffset > 0 ? 2 : 1;
        this.openLog(attempt, now);
        this.assign(chosen, now);
        this.send("start", attempt, fromOffset, delivered ?? "");
        return true;
    }

    /** Attaches to a stream that an engine already holds. */
    public attach(group: ReplicaGroup, leader: Instance, attempt: number, now: number): void {
        this.openLog(attempt, now);
        this.assign({ group, leader }, now);
        this.send("resume", attempt, this.start.fromOffset, "");
    }

    /** Handles one event of an engine's stream. */
    public handleEngineEvent(attempt: number, event: EngineEvent, now: number): void {
        if (this.answerLog === undefined) {
            return;
        }
        const isCurrent = attempt === this.answerLog.currentAttempt();
        if (isCurrent && event.kind === "accepted") {
            this.hasResponseHead = true;
        } else if (isCurrent && event.kind === "failed") {
            const instance = this.assignment.leader?.id;
            const code = event.fault.code;
            this.record({ kind: "attemptFailed", request: this.request.id, attempt, code, instance });
            this.recordPossibleCrash(event.fault, now);
        }
        this.executeStep(this.answerLog.handleEvent({ request: this.request.id, attempt, event }, now), now);
    }

    /** Records that the caller has taken every token before `offset`. */
    public recordTaken(offset: number, now: number): void {
        if (this.answerLog !== undefined) {
            this.executeStep(this.answerLog.recordTaken(offset, now), now);
        }
    }

    /** Records that the caller has disconnected; its stream is kept for the resume window. */
    public recordDisconnect(now: number): void {
        if (this.answerLog !== undefined) {
            this.executeStep(this.answerLog.recordDisconnect(now), now);
        }
    }

    /** Detaches and leaves the stream on its engine, because the caller has reattached on another connection. */
    public release(now: number): void {
        this.context.emit({
            kind: "detach",
            request: this.request.id,
            attempt: this.answerLog?.currentAttempt() ?? 0,
        });
        this.end("abandoned", now);
    }

    /** Checks deadlines, and retries a restart for which no replica was available. */
    public tick(now: number): void {
        if (this.pendingRestart !== undefined) {
            this.restart(this.pendingRestart, now);
        }
        if (this.answerLog !== undefined && this.nextTickAt !== undefined && this.nextTickAt <= now) {
            this.executeStep(this.answerLog.tick(now), now);
        }
    }

    /** Moves the stream to another replica group if its group has lost a member. */
    public moveIfMemberMissing(now: number): void {
        const missing = this.assignment.findMissingMember(now);
        if (missing !== undefined) {
            this.failAttempt(
                `replica group "${this.assignment.current?.group.id}" lost its member "${missing}"`,
                now,
            );
        }
    }

    private openLog(attempt: number, now: number): void {
        const { answerOptions, retries } = this.context.options;
        const { id, deadline } = this.request;
        const retry = { deadline, expectedMilliseconds: 0, isRetry: false };
        const options = {
            ...answerOptions(),
            request: id,
            attempt,
            fromOffset: this.start.fromOffset,
            delivered: this.start.delivered,
            deadline,
            // The retry budget never cuts off an answer that has begun.
            mayRetry: (time: number, nextOffset: number) =>
                this.mayReachAnotherEngine(time) && (nextOffset > 0 || retries.tryTake(retry, time)),
        };
        this.answerLog = AnswerLog.create(options, now);
        this.nextTickAt = now;
    }

    private recordPossibleCrash(fault: Fault, now: number): void {
        const { leader } = this.assignment;
        if (this.mayCrash && fault.connectionLost === true && leader !== undefined) {
            this.mayHaveCrashed = true;
            const { crashGuard } = this.context.options;
            crashGuard.recordCrash(this.guarded, leader.id, this.hasResponseHead, now);
        }
        this.mayCrash = false;
    }

    private mayReachAnotherEngine(now: number): boolean {
        return !this.mayHaveCrashed || !this.context.options.crashGuard.isSuspect(this.guarded, now);
    }

    private routeRequest(): RouteRequest {
        const { id, model, prompt, promptTokens } = this.current;
        return { id, model, prompt, promptTokens, borrowed: this.borrowed };
    }

    private assign(chosen: ReplicaChoice, now: number): void {
        this.pendingRestart = undefined;
        this.assignment.recordDispatch(chosen, this.routeRequest(), now);
    }

    private send(kind: "start" | "resume", attempt: number, fromOffset: number, delivered: string): void {
        const chosen = this.assignment.current;
        if (chosen === undefined) {
            return;
        }
        const { request } = this;
        const { leader } = chosen;
        this.mayCrash = kind === "start";
        this.hasResponseHead = false;
        const { id, epoch } = chosen.group;
        const dispatch = { request, attempt, group: id, epoch, leader, delivered, fromOffset };
        this.context.emit({ kind, dispatch });
        const instance = leader.id;
        this.record({ kind: "requestDispatched", request: request.id, attempt, group: id, epoch, instance });
    }

    private executeStep(step: AnswerStep, now: number): void {
        this.nextTickAt = step.nextTick;
        for (const command of step.commands) {
            this.executeCommand(command, now);
        }
    }

    private executeCommand(command: AnswerCommand, now: number): void {
        const request = this.request.id;
        switch (command.kind) {
            case "deliver":
                this.deliver(command, now);
                return;
            case "resume":
                this.resume(command.attempt, command.fromOffset, now);
                return;
            case "restart":
                this.restart(command, now);
                return;
            case "detach":
                this.context.emit({ kind: "detach", request, attempt: command.attempt });
                return;
            case "cancel":
                this.cancel(command.attempt, now);
                return;
            case "finish":
                this.context.options.crashGuard.recordComplete(this.guarded, now);
                this.end("finished", now);
                this.record({ kind: "requestCompleted", request, tokens: command.nextOffset });
                this.context.emit({ ...command, request });
                return;
            case "fail":
                this.end("failed", now);
                this.fail(command.fault);
        }
    }

    private deliver(command: DeliverCommand, now: number): void {
        const { options, emit } = this.context;
        const request = this.request.id;
        this.mayCrash = false;
        this.mayHaveCrashed = false;
        if (!this.hasFirstToken) {
            this.hasFirstToken = true;
            this.record({ kind: "firstToken", request, attempt: this.answerLog?.currentAttempt() ?? 0 });
        }
        options.admission.charge(request, 1, now);
        options.router.progress(request, now);
        emit({ kind: "deliver", request, offset: command.offset, text: command.text });
    }

    private resume(attempt: number, fromOffset: number, now: number): void {
        const missing = this.assignment.findMissingMember(now);
        if (this.assignment.current === undefined || missing !== undefined) {
            this.failAttempt("the replica group that held the stream was released or has lost a member", now);
            return;
        }
        this.record({ kind: "requestResumed", request: this.request.id, attempt, offset: fromOffset });
        this.send("resume", attempt, fromOffset, "");
    }

    private restart(command: RestartCommand, now: number): void {
        this.pendingRestart = undefined;
        if (command.attempt !== this.answerLog?.currentAttempt()) {
            return;
        }
        const quarantined = this.quarantineFault(now);
        if (quarantined !== undefined) {
            this.handleEngineEvent(command.attempt, { kind: "failed", fault: quarantined }, now);
            return;
        }
        this.assignment.release(this.request.id, "failed", now);
        const chosen = this.assignment.choose(this.routeRequest(), now);
        if (chosen === undefined) {
            this.pendingRestart = command;
            return;
        }
        const { attempt, fromOffset, delivered } = command;
        this.assign(chosen, now);
        this.record({ kind: "requestResumed", request: this.request.id, attempt, offset: fromOffset });
        this.send("start", attempt, fromOffset, delivered);
    }

    private cancel(attempt: number, now: number): void {
        const leader = this.assignment.current?.leader;
        if (leader !== undefined) {
            this.context.emit({ kind: "cancel", request: this.request.id, attempt, leader });
            this.assignment.release(this.request.id, "abandoned", now);
        }
    }

    private failAttempt(message: string, now: number): void {
        const attempt = this.answerLog?.currentAttempt() ?? 0;
        const fault: Fault = {
            code: "noReplica",
            message,
            step: "stream",
            peer: this.assignment.leader?.id,
            notRun: false,
        };
        this.handleEngineEvent(attempt, { kind: "failed", fault }, now);
    }

    private end(outcome: DispatchOutcome, now: number): void {
        this.assignment.release(this.request.id, outcome, now);
        this.nextTickAt = undefined;
        this.context.onEnded(this, now);
    }

    private fail(fault: Fault): void {
        const { id, caller } = this.request;
        this.record({
            kind: "requestRefused",
            request: id,
            team: caller.team,
            code: fault.code,
            notRun: fault.notRun,
        });
        this.context.emit({ kind: "fail", request: id, fault });
    }

    private record(event: EventBody): void {
        this.context.emit({ kind: "record", event });
    }
}
