/** Event loop of an entry process: merges all inputs into one stream, feeds the core and executes its commands. */
import { Subject, observeOn, queueScheduler } from "rxjs";
import type { Clock } from "../../contracts/clocks.js";
import type { Engines } from "../../contracts/engines.js";
import type { EngineEvent } from "../../contracts/engines.js";
import type { CompletionCoordinator } from "../../core/completion-coordinator.js";
import type { AnswerStart, EntryCommand, HeldStream } from "../../core/entry-commands.js";
import type { RecordEvent } from "../../core/events.js";
import type { CompletionRequest, RequestId } from "../../core/requests.js";
import type { Metrics } from "../../links/metrics.js";
import type { CompletionResponse } from "./completion-response.js";
import { StreamDriver } from "./stream-driver.js";

/** Delay of a tick, in milliseconds, above which the process is taken to have been suspended. */
const lateTickThresholdMilliseconds = 1_000;

/** One input of the loop. */
type EntryInput =
    | {
          readonly kind: "request";
          readonly request: CompletionRequest;
          readonly start: AnswerStart;
          readonly held: HeldStream | undefined;
      }
    | {
          readonly kind: "engineEvent";
          readonly request: RequestId;
          readonly attempt: number;
          readonly event: EngineEvent;
      }
    | { readonly kind: "tokensTaken"; readonly request: RequestId; readonly offset: number }
    | { readonly kind: "callerDisconnected"; readonly request: RequestId }
    | { readonly kind: "tick" };

/** Dependencies of the loop. */
export interface EntryLoopOptions {
    readonly core: CompletionCoordinator;
    readonly engines: Engines;
    readonly clock: Clock;
    readonly record: RecordEvent;
    readonly metrics: Metrics;
    /** Returns the token with which the caller can resume the stream at another entry instance. */
    readonly createResumeToken: (command: Extract<EntryCommand, { kind: "start" | "resume" }>) => string;
}

interface WaitingCaller {
    readonly answer: CompletionResponse;
    readonly arrivedAt: number;
    hasFirstToken: boolean;
}

/** Runs the entry core of one process. */
export class EntryLoop {
    private readonly inputs = new Subject<EntryInput>();
    private readonly callers = new Map<RequestId, WaitingCaller>();
    private readonly streams: StreamDriver;
    private timer: NodeJS.Timeout | undefined;
    private nextTickAt: number;

    private constructor(private readonly options: EntryLoopOptions) {
        this.streams = StreamDriver.create(options.engines, options.clock, (request, attempt, event) =>
            this.inputs.next({ kind: "engineEvent", request, attempt, event }),
        );
        this.nextTickAt = options.clock.monotonicMilliseconds();
        this.inputs.pipe(observeOn(queueScheduler)).subscribe(input => this.handleInput(input));
        this.scheduleTick();
    }

    public static create(options: EntryLoopOptions): EntryLoop {
        return new EntryLoop(options);
    }

    /** Number of requests that have not ended. */
    public get activeRequestCount(): number {
        return this.options.core.size;
    }

    /** Starts a request whose response is written to `answer`; replaces an earlier connection for the request. */
    public handleRequest(
        request: CompletionRequest,
        start: AnswerStart,
        held: HeldStream | undefined,
        answer: CompletionResponse,
    ): void {
        const arrivedAt = this.options.clock.monotonicMilliseconds();
        this.callers.get(request.id)?.answer.abandon();
        this.callers.set(request.id, { answer, arrivedAt, hasFirstToken: false });
        this.options.metrics.count("chervil.request.received");
        this.inputs.next({ kind: "request", request, start, held });
    }

    public recordTaken(request: RequestId, offset: number): void {
        this.inputs.next({ kind: "tokensTaken", request, offset });
    }

    public recordDisconnect(request: RequestId): void {
        this.inputs.next({ kind: "callerDisconnected", request });
    }

    /** Runs the core at once, so that it reacts to a change of the system view before the next tick. */
    public tickNow(): void {
        this.inputs.next({ kind: "tick" });
    }

    public close(): void {
        clearTimeout(this.timer);
        this.inputs.complete();
    }

    private scheduleTick(): void {
        const now = this.options.clock.monotonicMilliseconds();
        this.nextTickAt = this.options.core.nextTick(now);
        this.timer = setTimeout(() => {
            this.recordLateTick();
            this.inputs.next({ kind: "tick" });
            this.scheduleTick();
        }, this.nextTickAt - now);
    }

    private recordLateTick(): void {
        const late = this.options.clock.monotonicMilliseconds() - this.nextTickAt;
        if (late > lateTickThresholdMilliseconds) {
            this.options.record({ kind: "lateTick", gapMilliseconds: Math.round(late) });
            this.options.metrics.timing("chervil.loop.late", late);
        }
    }

    private handleInput(input: EntryInput): void {
        const now = this.options.clock.monotonicMilliseconds();
        for (const command of this.decide(input, now)) {
            this.executeCommand(command, now);
        }
    }

    private decide(input: EntryInput, now: number): readonly EntryCommand[] {
        const { core } = this.options;
        switch (input.kind) {
            case "request":
                return input.held === undefined
                    ? core.handleRequest(input.request, input.start, now)
                    : core.reattach(input.request, input.start, input.held, now);
            case "engineEvent":
                return core.handleEngineEvent(input.request, input.attempt, input.event, now);
            case "tokensTaken":
                return core.recordTaken(input.request, input.offset, now);
            case "callerDisconnected":
                this.callers.delete(input.request);
                return core.recordDisconnect(input.request, now);
            case "tick":
                return core.tick(now);
        }
    }

    private executeCommand(command: EntryCommand, now: number): void {
        switch (command.kind) {
            case "start":
            case "resume":
                this.callers
                    .get(command.dispatch.request.id)
                    ?.answer.sendResumeToken(this.options.createResumeToken(command));
                this.streams.openStream(command.kind, command.dispatch);
                return;
            case "detach":
                this.streams.detach(command.request, command.attempt);
                return;
            case "cancel":
                this.streams.cancel(command.request, command.attempt, command.leader);
                return;
            case "deliver":
                this.deliver(command.request, command.offset, command.text, now);
                return;
            case "finish":
                this.options.metrics.count("chervil.request.completed");
                this.removeCaller(command.request)?.finish(command.reason, command.nextOffset);
                return;
            case "fail":
                this.countFault(command);
                this.removeCaller(command.request)?.fail(command.fault);
                return;
            case "record":
                if (command.event.kind === "requestResumed") {
                    this.options.metrics.count("chervil.request.resumed");
                }
                this.options.record(command.event);
        }
    }

    private deliver(request: RequestId, offset: number, text: string, now: number): void {
        const caller = this.callers.get(request);
        this.options.metrics.count("chervil.tokens.delivered");
        if (caller === undefined) {
            return;
        }
        if (!caller.hasFirstToken) {
            caller.hasFirstToken = true;
            this.options.metrics.timing("chervil.first_token", now - caller.arrivedAt);
        }
        caller.answer.deliver(offset, text);
    }

    private removeCaller(request: RequestId): CompletionResponse | undefined {
        this.streams.closeConnection(request);
        const caller = this.callers.get(request);
        this.callers.delete(request);
        return caller?.answer;
    }

    private countFault(command: Extract<EntryCommand, { kind: "fail" }>): void {
        const { code, notRun } = command.fault;
        this.options.metrics.count(notRun ? "chervil.request.refused" : "chervil.request.failed", 1, {
            code,
        });
    }
}
