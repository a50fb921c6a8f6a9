/**
 * Admission control: decides which requests wait, which may start and which are refused at once. Pure: time, capacity
 * and randomness are arguments. Times are local monotonic milliseconds; costs are tokens.
 */
import { QueueCounts } from "./queue-counts.js";
import type { HeapItem } from "./indexed-heap.js";
import { IndexedHeap } from "./indexed-heap.js";
import { ModelAdmission } from "./model-admission.js";
import type {
    AdmissionOptions,
    AdmissionRequest,
    CapacityOf,
    Offer,
    Refusal,
    StartedRequest,
} from "./admission-requests.js";
import type { Fault, FaultCode } from "./errors.js";
import { FairQueue } from "./fair-queue.js";
import type { RequestId } from "./requests.js";
import type { Team, TeamId, TeamLimits } from "./teams.js";
import type { UsageSnapshot } from "./usage-exchange.js";
import { UsageExchange } from "./usage-exchange.js";

export type {
    AdmissionOptions,
    AdmissionRequest,
    CapacityOf,
    Offer,
    Refusal,
    StartedRequest,
} from "./admission-requests.js";

/** Added to the engine priority of callers that exceed their fair share; greater than every rank. */
export const borrowedPriorityOffset = 1_000;
/** Limits of every team that has no configuration, so that an unknown team is never unlimited. */
export const defaultTeamLimits: TeamLimits = {
    queuedPerSubscriber: 16,
    queuedPerTeam: 256,
    requestMilliseconds: 120_000,
    maximumTokens: 4_096,
};
/** Factor on the estimated wait before a start counts as too late; the estimate errs by about this factor. */
export const lateStartFactor = 2;
/** Lower bound, before jitter, of the retry delay given to a refused caller, in milliseconds. */
export const minimumRetryDelayMilliseconds = 200;

interface TrackedRequest extends HeapItem {
    readonly request: AdmissionRequest;
    readonly startBy: number;
    state: "queued" | "started";
    startedAt: number;
    /** Tokens generated. */
    tokens: number;
    /** Tokens charged at the start that have not been generated yet. */
    prepaid: number;
}

/** Admission control of one entry process. */
export class Admission {
    private readonly models = new Map<string, ModelAdmission>();
    private readonly tracked = new Map<RequestId, TrackedRequest>();
    private readonly byLatestStart = IndexedHeap.create<TrackedRequest>(
        (left, right) => left.startBy < right.startBy,
    );
    private readonly queueCounts = QueueCounts.create();
    private readonly usageExchange = UsageExchange.create();
    private teams: ReadonlyMap<TeamId, Team> = new Map();

    private constructor(private readonly options: AdmissionOptions) {}

    public static create(options: AdmissionOptions): Admission {
        return new Admission(options);
    }

    /** Number of waiting requests. */
    public get queued(): number {
        let sum = 0;
        for (const model of this.models.values()) {
            sum += model.queue.size;
        }
        return sum;
    }

    /** Number of requests that have started and have not ended. */
    public get started(): number {
        return this.tracked.size - this.queued;
    }

    /** Number of waiting requests of one team. */
    public queuedCountOf(team: TeamId): number {
        return this.queueCounts.queuedCountOf(team);
    }

    /** Applies the configured shares, ranks and limits of teams. */
    public applyTeams(teams: readonly Team[]): void {
        this.teams = new Map(teams.map(team => [team.id, team]));
        for (const model of this.models.values()) {
            model.applyTeams(teams);
        }
    }

    /** Queues a request or refuses it at once: as a duplicate, for a full queue, or for an unreachable deadline. */
    public offer(request: AdmissionRequest, now: number): Offer {
        if (this.tracked.has(request.id)) {
            return refuse(
                this.fault("inProgress", "a request with this id is already queued or running", undefined),
            );
        }
        const model = this.modelOf(request.model);
        const wait = model.estimateWait(request.caller, now);
        if (this.queueCounts.isFull(request.caller, this.limitsOf(request.caller.team))) {
            const message = "too many requests of the subscriber or its team are waiting";
            return refuse(this.fault("overloaded", message, this.retryAt(wait, now)));
        }
        const startBy =
            request.startBy ?? latestStartOf(request, model.answerEstimate.serviceMilliseconds, now);
        const isLate = now + wait * lateStartFactor > startBy;
        if (now >= request.deadline || (isLate && this.options.refusesLateStarts !== false)) {
            const message = "the request cannot start before its deadline";
            return refuse(this.fault("deadlineUnreachable", message, this.retryAt(wait, now)));
        }
        this.track(request, startBy);
        this.queueCounts.change(request.caller, 1);
        model.queue.enqueue(request);
        return { kind: "queued" };
    }

    private track(request: AdmissionRequest, startBy: number): void {
        const tracked: TrackedRequest = {
            request,
            startBy,
            state: "queued",
            startedAt: 0,
            tokens: 0,
            prepaid: 0,
            position: -1,
        };
        this.tracked.set(request.id, tracked);
        this.byLatestStart.put(tracked);
    }

    /** Takes the requests that may start now, in fair order, and marks them as started. */
    public takeStartable(now: number, capacityOf: CapacityOf): readonly StartedRequest[] {
        const started: StartedRequest[] = [];
        for (const [name, model] of this.models) {
            this.startRequestsOf(name, model, now, capacityOf, started);
        }
        return started;
    }

    /** Refunds a started request that could not be dispatched and returns it to the front of its subscriber's queue. */
    public requeue(id: RequestId, now: number): void {
        const tracked = this.tracked.get(id);
        if (tracked?.state !== "started") {
            return;
        }
        const { request } = tracked;
        this.byLatestStart.put(tracked);
        this.chargeTokens(request, -request.promptTokens - tracked.prepaid, now);
        tracked.state = "queued";
        tracked.prepaid = 0;
        this.queueCounts.change(request.caller, 1);
        this.modelOf(request.model).queue.requeue(request);
    }

    /** Charges tokens that a started request has generated. */
    public charge(id: RequestId, tokens: number, now: number): void {
        const tracked = this.tracked.get(id);
        if (tracked?.state !== "started") {
            return;
        }
        tracked.tokens += tokens;
        const covered = Math.min(tokens, tracked.prepaid);
        tracked.prepaid -= covered;
        if (tokens > covered) {
            this.chargeTokens(tracked.request, tokens - covered, now);
        }
    }

    /** Ends a request with a complete answer and records its length and time. Returns false if it had already ended. */
    public finish(id: RequestId, now: number): boolean {
        const tracked = this.tracked.get(id);
        if (tracked?.state === "started" && tracked.tokens > 0) {
            const { answerEstimate: answers } = this.modelOf(tracked.request.model);
            answers.recordAnswer(tracked.tokens, now - tracked.startedAt);
        }
        return this.release(id, now);
    }

    /** Ends a waiting or started request without a complete answer. Returns false if it had already ended. */
    public abandon(id: RequestId, now: number): boolean {
        return this.release(id, now);
    }

    /** Refuses the waiting requests that can no longer start in time, and drops the usage counters of silent peers. */
    public expire(now: number): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (let next = this.byLatestStart.peek(); next !== undefined; next = this.byLatestStart.peek()) {
            if (next.startBy > now) {
                break;
            }
            refusals.push(this.refuseExpired(next.request, now));
        }
        this.usageExchange.expire(now);
        return refusals;
    }

    /** Returns the usage counters for peers; each call begins a new reporting period. */
    public usageSnapshot(): UsageSnapshot {
        return this.usageExchange.snapshot();
    }

    /** Charges tokens that callers used through another entry process. */
    public applyPeerUsage(process: string, incarnation: number, snapshot: UsageSnapshot, now: number): void {
        for (const charge of this.usageExchange.applyPeer(process, incarnation, snapshot, now)) {
            this.modelOf(charge.model).chargePeer(charge, now);
        }
    }

    private startRequestsOf(
        name: string,
        model: ModelAdmission,
        now: number,
        capacityOf: CapacityOf,
        started: StartedRequest[],
    ): void {
        const capacities = new Map<boolean, number>();
        let taken = 0;
        for (let item = model.queue.peek(); item !== undefined; item = model.queue.peek()) {
            const borrowed =
                this.options.borrowing !== false && model.recentUsage.isBorrowing(item.caller, now);
            const capacity = capacities.get(borrowed) ?? capacityOf(name, borrowed);
            capacities.set(borrowed, capacity);
            if (capacity - taken <= 0) {
                return;
            }
            model.queue.take();
            taken += 1;
            started.push(this.start(item.id, name, borrowed, now));
        }
    }

    private start(id: RequestId, model: string, borrowed: boolean, now: number): StartedRequest {
        const tracked = this.tracked.get(id)!;
        const { request } = tracked;
        const state = this.modelOf(model);
        tracked.state = "started";
        tracked.startedAt = now;
        tracked.prepaid = state.answerEstimate.expectedTokens(request.expectedTokens);
        this.byLatestStart.remove(tracked);
        this.queueCounts.change(request.caller, -1);
        state.recordStart(request.caller, request.promptTokens + tracked.prepaid, now);
        this.chargeTokens(request, request.promptTokens + tracked.prepaid, now);
        const rank = this.teams.get(request.caller.team)?.rank ?? 0;
        return { id, model, priority: rank + (borrowed ? borrowedPriorityOffset : 0), borrowed };
    }

    private release(id: RequestId, now: number): boolean {
        const tracked = this.tracked.get(id);
        if (tracked === undefined) {
            return false;
        }
        this.tracked.delete(id);
        this.byLatestStart.remove(tracked);
        const { request } = tracked;
        if (tracked.state === "queued") {
            this.queueCounts.change(request.caller, -1);
            this.modelOf(request.model).queue.remove(request);
            return true;
        }
        this.chargeTokens(request, -tracked.prepaid, now);
        return true;
    }

    private refuseExpired(request: AdmissionRequest, now: number): Refusal {
        const wait = this.modelOf(request.model).estimateWait(request.caller, now);
        this.release(request.id, now);
        const message = "the request did not start before its deadline";
        return { id: request.id, fault: this.fault("deadlinePassed", message, this.retryAt(wait, now)) };
    }

    private chargeTokens(request: AdmissionRequest, tokens: number, now: number): void {
        if (tokens === 0) {
            return;
        }
        this.modelOf(request.model).charge(request.caller, tokens, now);
        this.usageExchange.add(request.model, request.caller, tokens);
    }

    private retryAt(wait: number, now: number): number {
        const spread = 0.5 + 0.5 * this.options.random();
        return now + Math.max(minimumRetryDelayMilliseconds, wait) * spread;
    }

    private limitsOf(team: TeamId): TeamLimits {
        return this.teams.get(team)?.limits ?? defaultTeamLimits;
    }

    private modelOf(name: string): ModelAdmission {
        let model = this.models.get(name);
        if (model === undefined) {
            model = ModelAdmission.create((this.options.createQueue ?? FairQueue.create)());
            model.applyTeams(this.teams.values());
            this.models.set(name, model);
        }
        return model;
    }

    private fault(code: FaultCode, message: string, retryAt: number | undefined): Fault {
        return { code, message, step: "admit", notRun: true, retryAt };
    }
}

/**
 * Returns the latest useful start. At least half of the remaining time is left for the wait, so that an overestimated
 * service time doesn't cause every request to be refused.
 */
function latestStartOf(request: AdmissionRequest, serviceMilliseconds: number, now: number): number {
    const remaining = Math.max(0, request.deadline - now);
    return request.deadline - Math.min(serviceMilliseconds, remaining / 2);
}

function refuse(fault: Fault): Offer {
    return { kind: "refused", fault };
}
