/** Event loop that runs service calls; service-calls.ts describes its rules. */
import type { Observable } from "rxjs";
import { Subject, mergeMap, observeOn, of, queueScheduler } from "rxjs";
import type { ClaimCommand, CurrentTime } from "../../core/claim-rules.js";
import { claimRules, defaultClaimOptions } from "../../core/claim-rules.js";
import { ClaimStateMachine } from "../../core/claim-state-machine.js";
import type { CrashGuard } from "../../core/crash-guard.js";
import { noCrashGuard } from "../../core/crash-guard.js";
import type { Fault } from "../../core/errors.js";
import { callDigest } from "../../core/idempotency-keys.js";
import type { SendOutcome } from "../../contracts/services.js";
import type { Instance } from "../../core/instances.js";
import type { RequestId, ServiceCall } from "../../core/requests.js";
import { RetryBudget } from "../../core/retry-budget.js";
import type { Schedule, SendRules, ServiceOutcome } from "./running-call.js";
import { RunningCall, createNonce, defaultSendRules, createSystemSchedule } from "./running-call.js";
import type { ServiceCallEvent } from "./service-call-events.js";
import { readClaims, sendCall, swapClaims } from "./service-call-events.js";
import type { ServiceCallsOptions } from "./service-call-options.js";

/** Responses with a lower status show that the call ran to its end. */
const firstServerErrorStatus = 500;

/** Runs the service calls of one process. All inputs pass through one stream and are handled one after the other. */
export class ServiceCallLoop {
    private readonly claimStateMachine: ClaimStateMachine;
    private readonly retryBudget: RetryBudget;
    private readonly crashGuard: CrashGuard;
    private readonly schedule: Schedule;
    private readonly sendRules: SendRules;
    private readonly inputs = new Subject<Observable<ServiceCallEvent>>();
    private readonly calls = new Map<RequestId, RunningCall>();
    private readonly idleWaiters: (() => void)[] = [];
    private isTicking = false;

    private constructor(private readonly options: ServiceCallsOptions) {
        this.retryBudget = options.retryBudget ?? RetryBudget.create();
        this.crashGuard = options.crashGuard ?? noCrashGuard;
        this.schedule = options.schedule ?? createSystemSchedule(options.clock);
        this.sendRules = options.rules?.sends ?? defaultSendRules;
        const nonce = () => createNonce(options.random);
        const claimOptions = { ...defaultClaimOptions, createNonce: nonce, ...options.claims };
        this.claimStateMachine = ClaimStateMachine.create(claimOptions, options.rules?.claims ?? claimRules);
        const events = this.inputs.pipe(
            mergeMap(input => input),
            observeOn(queueScheduler),
        );
        events.subscribe(event => this.handle(event));
    }

    public static create(options: ServiceCallsOptions): ServiceCallLoop {
        return new ServiceCallLoop(options);
    }

    public run(call: ServiceCall): Promise<ServiceOutcome> {
        return new Promise(resolve => {
            this.emit({ kind: "call", running: RunningCall.create(call, resolve) });
        });
    }

    public whenIdle(): Promise<void> {
        return new Promise(resolve => {
            this.idleWaiters.push(resolve);
            this.emit({ kind: "tick" });
        });
    }

    private emit(event: ServiceCallEvent): void {
        this.inputs.next(of(event));
    }

    private currentMoment(): CurrentTime {
        const { clock } = this.options;
        return { now: clock.monotonicMilliseconds(), wallNow: clock.wallMilliseconds() };
    }

    private handle(event: ServiceCallEvent): void {
        switch (event.kind) {
            case "call":
                this.startCall(event.running);
                break;
            case "store":
                this.execute(event.apply(this.claimStateMachine, this.currentMoment()));
                break;
            case "sent":
                this.handleSendOutcome(event);
                break;
            case "tick":
                this.execute(this.claimStateMachine.tick(this.currentMoment()));
                this.expireUnclaimed();
                break;
        }
        this.scheduleTick();
    }

    private startCall(running: RunningCall): void {
        const { call } = running;
        if (this.calls.has(call.id)) {
            running.refuse("invalidRequest", "a request with this id is already running", false);
            return;
        }
        this.calls.set(call.id, running);
        this.retryBudget.recordFirstAttempt();
        if (!running.isClaimed() || call.key === undefined) {
            this.send(running);
            return;
        }
        if (this.sendRules.sendsBeforeClaim) {
            this.send(running);
        }
        const { id, key, deadline, isRepeat = false } = call;
        const request = { request: id, key, digest: callDigest(call), deadline, isRepeat };
        this.execute(this.claimStateMachine.claim(request, this.currentMoment()));
    }

    private execute(commands: readonly ClaimCommand[]): void {
        for (const command of commands) {
            this.executeCommand(command);
        }
    }

    private executeCommand(command: ClaimCommand): void {
        switch (command.kind) {
            case "read":
                this.inputs.next(readClaims(this.options.store, command.storeKey, command.deadline));
                return;
            case "swap":
                this.inputs.next(swapClaims(this.options.store, command.swap, command.deadline));
                return;
            case "granted":
                this.handleClaimGranted(command.request);
                return;
            case "replay":
                this.finishCall(command.request, running => running.respond(command.answer, true));
                return;
            case "refused":
                this.finishCall(command.request, running => running.fail(command.fault));
        }
    }

    private handleClaimGranted(request: RequestId): void {
        const running = this.calls.get(request);
        const key = running?.call.key;
        if (key !== undefined) {
            this.options.record({ kind: "claimWritten", request, key });
        }
        if (running === undefined) {
            const fault = {
                code: "cancelled",
                message: "the call ended before its claim was granted",
                step: "send",
                notRun: true,
            } as const;
            this.execute(this.claimStateMachine.release(request, fault, this.currentMoment()));
        } else if (!running.wasSent()) {
            this.send(running);
        }
    }

    // Checks the deadline last and sends in the same turn of the event loop, so that no call is sent after its deadline.
    private send(running: RunningCall): void {
        const { call } = running;
        const retryAt = this.crashGuard.quarantinedUntil(running.guarded, this.currentMoment().now);
        if (retryAt !== undefined) {
            const message = "repetitions of this call crashed the instances that ran them; retry later";
            this.endNotRun(running, { ...running.notRunFault("quarantined", message), retryAt });
            return;
        }
        const instance = this.options.route(call, running.triedInstanceIds());
        if (instance === undefined) {
            this.endNotRun(
                running,
                running.notRunFault("noEndpoint", "no healthy instance of the service is left to try"),
            );
            return;
        }
        const at = this.currentMoment();
        if (running.isClaimed() && !this.sendRules.sendsBeforeClaim) {
            const refusal = this.claimStateMachine.startSending(call.id, at);
            if (refusal !== undefined) {
                this.execute(refusal);
                return;
            }
        } else if (at.now >= call.deadline) {
            this.endNotRun(
                running,
                running.notRunFault("deadlinePassed", "the deadline passed before the call was sent"),
            );
            return;
        }
        running.startAttempt(instance);
        const attempt = running.triedInstanceIds().length;
        this.options.record({ kind: "requestDispatched", request: call.id, attempt, instance: instance.id });
        this.inputs.next(sendCall(this.options.send, running, instance));
    }

    private handleSendOutcome({
        running,
        instance,
        outcome,
    }: Extract<ServiceCallEvent, { kind: "sent" }>): void {
        running.endAttempt(outcome);
        this.recordEvidence(running, instance, outcome);
        if (outcome.kind === "answered") {
            running.respond(outcome.answer, false);
            this.settleCall(running);
            return;
        }
        const request = running.call.id;
        const { code } = outcome.fault;
        this.options.record({
            kind: "attemptFailed",
            request,
            attempt: running.triedInstanceIds().length,
            code,
        });
        if (this.mayRetry(running, outcome.kind)) {
            this.claimStateMachine.recordNotRun(request);
            this.send(running);
        } else if (outcome.kind === "notRun") {
            this.claimStateMachine.recordNotRun(request);
            this.endNotRun(running, { ...outcome.fault, peer: instance.id, notRun: true });
        } else {
            this.settleCall(running);
        }
    }

    private recordEvidence({ guarded }: RunningCall, instance: Instance, outcome: SendOutcome): void {
        const { now } = this.currentMoment();
        if (outcome.kind === "answered") {
            if (outcome.answer.status < firstServerErrorStatus) {
                this.crashGuard.recordComplete(guarded, now);
            }
        } else if (outcome.fault.connectionLost === true) {
            this.crashGuard.recordCrash(guarded, instance.id, false, now);
        }
    }

    private mayRetry(running: RunningCall, outcome: "notRun" | "unknown"): boolean {
        const { call, guarded } = running;
        if (running.isAnswered() || !this.sendRules.mayRetry(call, outcome)) {
            return false;
        }
        if (running.mayHaveCrashed() && this.crashGuard.isSuspect(guarded, this.currentMoment().now)) {
            return false;
        }
        if (this.options.route(call, running.triedInstanceIds()) === undefined) {
            return false;
        }
        const { now } = this.currentMoment();
        const request = { deadline: call.deadline, expectedMilliseconds: 0, isRetry: false };
        return this.retryBudget.tryTake(request, now);
    }

    // Ends a call that was not sent, or whose last attempt is proved not to have run.
    private endNotRun(running: RunningCall, fault: Fault): void {
        if (running.isClaimed()) {
            this.removeIfAnswered(running);
            this.execute(this.claimStateMachine.release(running.call.id, fault, this.currentMoment()));
            return;
        }
        running.fail({ ...fault, notRun: fault.notRun && !running.mayHaveRun() });
        this.calls.delete(running.call.id);
    }

    private removeIfAnswered(running: RunningCall): void {
        if (running.isAnswered()) {
            this.calls.delete(running.call.id);
        }
    }

    private settleCall(running: RunningCall): void {
        const { call } = running;
        const outcome = running.outcome();
        this.calls.delete(call.id);
        if (running.isClaimed() && call.key !== undefined) {
            this.execute(this.claimStateMachine.settle(call.id, outcome, this.currentMoment()));
            const { record } = this.options;
            record({ kind: "claimSettled", request: call.id, key: call.key, outcome: outcome.kind });
        }
        if (outcome.kind === "unknown") {
            running.fail(outcome.fault);
        }
    }

    private finishCall(request: RequestId, end: (running: RunningCall) => void): void {
        const running = this.calls.get(request);
        if (running === undefined) {
            return;
        }
        end(running);
        if (!running.hasAttemptInProgress()) {
            this.calls.delete(request);
        }
    }

    // Calls with a claim are expired by the claim state machine.
    private expireUnclaimed(): void {
        const { now } = this.currentMoment();
        for (const running of this.calls.values()) {
            if (!running.isClaimed() && !running.isAnswered() && now >= running.call.deadline) {
                running.refuse("outcomeUnknown", "the deadline passed before the service answered", false);
            }
        }
    }

    private scheduleTick(): void {
        if (this.calls.size === 0 && this.claimStateMachine.isIdle()) {
            this.idleWaiters.splice(0).forEach(resolve => resolve());
            return;
        }
        if (this.isTicking) {
            return;
        }
        this.isTicking = true;
        const milliseconds =
            this.options.claims?.tickIntervalMilliseconds ?? defaultClaimOptions.tickIntervalMilliseconds;
        this.schedule(this.currentMoment().now + milliseconds, () => {
            this.isTicking = false;
            this.emit({ kind: "tick" });
        });
    }
}
