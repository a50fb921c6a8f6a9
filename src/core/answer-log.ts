/**
 * The log of one answer: an ordered sequence of (offset, token) pairs. It delivers each offset once and in order,
 * buffers a bounded number of tokens after a gap, decides how to continue after a lost or stalled stream, and ends with
 * exactly one finish or fault.
 *
 * An attempt is one subscription to an engine's stream. Events of earlier attempts and of other requests are ignored.
 * Times are local monotonic milliseconds.
 */
import type { EngineEvent } from "../contracts/engines.js";
import type { AnswerCommand, AnswerStep, AttemptEvent } from "./answer-commands.js";
import type { AnswerOptions, AnswerRules } from "./answer-options.js";
import { answerRules } from "./answer-options.js";
import { LossCounter } from "./loss-counter.js";
import { StreamPace } from "./stream-pace.js";
import type { SequenceStep } from "./token-sequence.js";
import { TokenSequence } from "./token-sequence.js";
import type { Fault, FaultCode } from "./errors.js";

/**
 * State of the log. "detached": the stream is left on its engine until the caller has taken more tokens. "waiting": a
 * restart is due after a delay.
 */
type Phase = "streaming" | "detached" | "waiting" | "ended";

/** The answer log of one request at one entry instance. */
export class AnswerLog {
    private phase: Phase = "streaming";
    private attempt: number;
    private readonly sequence: TokenSequence;
    private takenOffset: number;
    private delivered: string | undefined;
    private pace: StreamPace;
    private readonly losses: LossCounter;
    private mayHaveRun: boolean;
    private restartAt = 0;
    private resumeWindowEndsAt: number | undefined;
    private commands: AnswerCommand[] = [];

    private constructor(
        private readonly options: AnswerOptions,
        private readonly rules: AnswerRules,
        now: number,
    ) {
        this.attempt = options.attempt;
        this.sequence = TokenSequence.create(rules, options.maximumBufferedTokens, options.fromOffset);
        this.takenOffset = options.fromOffset;
        this.delivered = options.delivered;
        this.mayHaveRun = options.fromOffset > 0 || options.attempt > 1;
        this.pace = StreamPace.create(options.pace, now);
        this.losses = LossCounter.create(options.maximumLossesAfterStart);
    }

    /** Creates a log for an attempt that the driver has just started. */
    public static create(options: AnswerOptions, now: number, rules: AnswerRules = answerRules): AnswerLog {
        return new AnswerLog(options, rules, now);
    }

    /** Number of the attempt whose events are accepted. */
    public currentAttempt(): number {
        return this.attempt;
    }

    /** Offset of the next token that will be delivered. */
    public offset(): number {
        return this.sequence.nextOffset();
    }

    /** True once "finish" or "fail" was issued. */
    public isEnded(): boolean {
        return this.phase === "ended";
    }

    /** Handles one event of an engine's stream. */
    public handleEvent({ request, attempt, event }: AttemptEvent, now: number): AnswerStep {
        const expected = { request: this.options.request, attempt: this.attempt };
        if (this.phase === "streaming" && this.rules.isCurrentAttempt(expected, { request, attempt })) {
            this.handleOwnEvent(event, now);
        }
        return this.step(now);
    }

    /** Handles the closing of an attempt's subscription without a terminal event. */
    public handleStreamClosed(attempt: number, now: number): AnswerStep {
        if (this.phase === "streaming" && attempt === this.attempt) {
            this.mayHaveRun = true;
            this.handleLoss(this.fault("streamLost", "the engine's stream closed before its end"), now);
        }
        return this.step(now);
    }

    /** Records that the caller has taken every token before `offset`. */
    public recordTaken(offset: number, now: number): AnswerStep {
        this.takenOffset = Math.max(this.takenOffset, Math.min(offset, this.sequence.nextOffset()));
        const untakenTokens = this.sequence.nextOffset() - this.takenOffset;
        if (this.phase === "detached" && untakenTokens <= this.options.maximumUntakenTokens / 2) {
            this.resume(now);
        }
        return this.step(now);
    }

    /** Records that the caller has disconnected; its stream is kept for the resume window. */
    public recordDisconnect(now: number): AnswerStep {
        if (this.phase !== "ended") {
            this.resumeWindowEndsAt = now + this.options.resumeWindowMilliseconds;
        }
        return this.step(now);
    }

    /** Ends the answer immediately, for example because the caller cancelled it. */
    public cancel(now: number): AnswerStep {
        if (this.phase !== "ended") {
            this.assumeAttemptRan();
            this.failWith(this.fault("cancelled", "the request was cancelled"));
        }
        return this.step(now);
    }

    /** Checks deadlines; the driver calls it at the step's `nextTick`. */
    public tick(now: number): AnswerStep {
        if (this.phase === "ended") {
            return this.step(now);
        }
        if (now >= this.options.deadline) {
            this.assumeAttemptRan();
            this.failWith(
                this.fault("deadlinePassed", "the request's deadline passed before its answer was complete"),
            );
        } else if (this.resumeWindowEndsAt !== undefined && now >= this.resumeWindowEndsAt) {
            this.assumeAttemptRan();
            this.failWith(
                this.fault(
                    "cancelled",
                    "the caller disconnected and did not resume its stream within the resume window",
                ),
            );
        } else if (this.phase === "waiting" && now >= this.restartAt) {
            this.restart(now);
        } else if (this.phase === "streaming" && now >= this.pace.stalledAt()) {
            this.assumeAttemptRan();
            this.handleLoss(
                this.fault("streamLost", "the engine's stream stalled: no token arrived in time"),
                now,
            );
        }
        return this.step(now);
    }

    // An attempt may have run unless it reported that nothing ran. While a restart is awaited, no attempt exists.
    private assumeAttemptRan(): void {
        this.mayHaveRun = this.mayHaveRun || this.phase !== "waiting";
    }

    private handleOwnEvent(event: EngineEvent, now: number): void {
        switch (event.kind) {
            case "accepted":
                this.mayHaveRun = true;
                return;
            case "token":
                this.mayHaveRun = true;
                this.applySequenceStep(this.sequence.handleToken(event.offset, event.text), now);
                return;
            case "finished":
                this.mayHaveRun = true;
                this.applySequenceStep(this.sequence.handleEnd(event), now);
                return;
            case "failed":
                this.mayHaveRun = this.mayHaveRun || !event.fault.notRun;
                this.handleLoss(event.fault, now);
        }
    }

    private applySequenceStep(step: SequenceStep, now: number): void {
        for (const { offset, text } of step.tokens) {
            this.commands.push({ kind: "deliver", offset, text });
            this.delivered = this.delivered === undefined ? undefined : this.delivered + text;
            this.recordProgress(now);
        }
        if (step.problem !== undefined) {
            this.handleLoss(this.fault("streamLost", step.problem), now);
            return;
        }
        this.endIfComplete();
        this.detachIfBehind();
    }

    private recordProgress(now: number): void {
        this.pace = this.pace.afterToken(now);
        this.losses.reset();
    }

    private endIfComplete(): void {
        const end = this.sequence.completedEnd();
        if (end !== undefined) {
            this.phase = "ended";
            this.commands.push({ kind: "finish", reason: end.reason, nextOffset: end.nextOffset });
        }
    }

    private detachIfBehind(): void {
        const untakenTokens = this.sequence.nextOffset() - this.takenOffset;
        if (this.phase === "streaming" && untakenTokens >= this.options.maximumUntakenTokens) {
            this.phase = "detached";
            this.sequence.discardAttempt();
            this.commands.push({ kind: "detach", attempt: this.attempt });
        }
    }

    private handleLoss(fault: Fault, now: number): void {
        this.sequence.discardAttempt();
        switch (this.losses.recordLoss(fault, this.rules.mayResume && this.mayHaveRun)) {
            case "resume":
                this.commands.push({ kind: "detach", attempt: this.attempt });
                this.resume(now);
                return;
            case "restart":
                this.scheduleRestart(fault, now);
                return;
            case "fail":
                this.failWith({ ...fault, notRun: !this.mayHaveRun });
        }
    }

    private scheduleRestart(fault: Fault, now: number): void {
        if (this.delivered === undefined) {
            this.failWith(
                this.fault(
                    "streamLost",
                    "the stream is lost and the text delivered so far is unknown; send the request again from the start",
                ),
            );
            return;
        }
        if (!this.options.mayRetry(now, this.sequence.nextOffset())) {
            this.failWith({ ...fault, notRun: !this.mayHaveRun });
            return;
        }
        this.commands.push({ kind: "cancel", attempt: this.attempt });
        const delay = this.options.restartDelay(this.losses.count());
        this.restartAt = Math.max(now + delay, fault.retryAt ?? 0);
        this.phase = "waiting";
        if (this.restartAt <= now) {
            this.restart(now);
        }
    }

    private resume(now: number): void {
        this.beginAttempt(now);
        this.commands.push({ kind: "resume", attempt: this.attempt, fromOffset: this.sequence.nextOffset() });
    }

    private restart(now: number): void {
        this.beginAttempt(now);
        this.commands.push({
            kind: "restart",
            attempt: this.attempt,
            fromOffset: this.sequence.nextOffset(),
            delivered: this.delivered ?? "",
        });
    }

    private beginAttempt(now: number): void {
        this.attempt += 1;
        this.phase = "streaming";
        this.pace = this.pace.afterRestart(now);
    }

    private failWith(fault: Fault): void {
        const wasAttached = this.phase === "streaming" || this.phase === "detached";
        this.phase = "ended";
        if (wasAttached) {
            this.commands.push({ kind: "cancel", attempt: this.attempt });
        }
        const callerFault = this.rules.toCallerFault(fault);
        if (callerFault !== undefined) {
            this.commands.push({ kind: "fail", fault: callerFault });
        }
    }

    private fault(code: FaultCode, message: string): Fault {
        return { code, message, step: "stream", notRun: !this.mayHaveRun };
    }

    private step(now: number): AnswerStep {
        const commands = this.commands;
        this.commands = [];
        return { commands, nextTick: this.nextTick(now) };
    }

    private nextTick(now: number): number | undefined {
        if (this.phase === "ended") {
            return undefined;
        }
        const times = [this.options.deadline, this.resumeWindowEndsAt ?? Infinity];
        if (this.phase === "streaming") {
            times.push(this.pace.stalledAt());
        }
        if (this.phase === "waiting") {
            times.push(this.restartAt);
        }
        return Math.max(now, Math.min(...times));
    }
}
