/**
 * Admission: which requests wait, which may start, and which are refused at once. Pure: time, capacity and
 * randomness are arguments. Times are local monotonic milliseconds, costs are tokens.
 */
import type { RandomNumber } from "../contracts/clocks.js";
import { AnswerEstimate, ChargeShare, StartEstimate } from "./admission-estimates.js";
import type { HeapItem } from "./admission-heaps.js";
import { IndexedHeap } from "./admission-heaps.js";
import type { Fault, FaultCode } from "./errors.js";
import { FairQueue } from "./fair-queues.js";
import type { RequestQueue } from "./fair-queues.js";
import type { Caller, RequestId } from "./requests.js";
import type { Team, TeamId, TeamLimits } from "./teams.js";
import type { PeerCharge, UsageSnapshot } from "./usages.js";
import { RecentUsage, UsageExchange } from "./usages.js";

/** What admission must know of a request. */
export interface AdmissionRequest {
    readonly id: RequestId;
    readonly caller: Caller;
    readonly model: string;
    /** Prompt tokens less the expected prefix hit. */
    readonly promptTokens: number;
    /** The most tokens that the answer may have. The mean is charged at the start, the rest as tokens appear. */
    readonly expectedTokens: number;
    readonly deadline: number;
    /** The latest useful start; the deadline less the time that few answers exceed if absent. */
    readonly startBy?: number;
}

/** Answer to an offer. */
export type Offer = { readonly kind: "queued" } | { readonly kind: "refused"; readonly fault: Fault };

/** A request that may start now. */
export interface StartedRequest {
    readonly id: RequestId;
    readonly model: string;
    /** Priority for the engine; lower goes first. Borrowing callers come after all others. */
    readonly priority: number;
    /** True if the caller uses more than its fair part and is given unused capacity only. */
    readonly borrowed: boolean;
}

/** A request given up on before it started. */
export interface Refusal {
    readonly id: RequestId;
    readonly fault: Fault;
}

/** Number of requests of a model that may start now; borrowing callers may get less. */
export type CapacityOf = (model: string, borrowed: boolean) => number;

/** What varies between admissions. */
export interface AdmissionOptions {
    readonly random: RandomNumber;
    /** Order of the waiting requests of one model; `FairQueue.create` unless given. */
    readonly createQueue?: () => RequestQueue;
    /** False to give every caller the same capacity and engine priority. */
    readonly borrowing?: boolean;
    /** False to keep requests whose estimated start is too late. */
    readonly refusesLateStarts?: boolean;
}

/** Engine priority that is added for borrowing callers; above every rank. */
export const borrowedPriority = 1_000;
/** Bounds of a team that is not configured; one place, so that an unknown team is never unlimited. */
export const defaultLimits: TeamLimits = {
    queuedPerSubscriber: 16,
    queuedPerTeam: 256,
    requestMilliseconds: 120_000,
    maximumTokens: 4_096,
};
/** Factor on the estimated wait beyond which a start counts as too late; the estimate errs by about this much. */
export const lateStartMargin = 2;
/** Earliest return of a refused caller, in milliseconds. */
export const earliestRetryMilliseconds = 200;

interface TrackedRequest extends HeapItem {
    readonly request: AdmissionRequest;
    readonly startBy: number;
    state: "queued" | "started";
    startedAt: number;
    /** Tokens generated. */
    tokens: number;
    /** Tokens charged before they appeared and not yet covered by tokens that did. */
    prepaid: number;
}

interface ModelAdmission {
    readonly queue: RequestQueue;
    readonly usage: RecentUsage;
    readonly estimate: StartEstimate;
    readonly answers: AnswerEstimate;
    readonly charges: ChargeShare;
}

interface TeamCount {
    queued: number;
    readonly bySubscriber: Map<string, number>;
}

/** Admission of one entry process. */
export class Admission {
    private readonly models = new Map<string, ModelAdmission>();
    private readonly tracked = new Map<RequestId, TrackedRequest>();
    private readonly latestStarts = IndexedHeap.create<TrackedRequest>(
        (left, right) => left.startBy < right.startBy,
    );
    private readonly counts = new Map<TeamId, TeamCount>();
    private readonly exchange = UsageExchange.create();
    private teams: ReadonlyMap<TeamId, Team> = new Map();

    private constructor(private readonly options: AdmissionOptions) {}

    public static create(options: AdmissionOptions): Admission {
        return new Admission(options);
    }

    /** Number of requests that wait. */
    public get queued(): number {
        let sum = 0;
        for (const model of this.models.values()) {
            sum += model.queue.size;
        }
        return sum;
    }

    /** Number of requests that have started and not ended. */
    public get started(): number {
        return this.tracked.size - this.queued;
    }

    /** Requests of one team that wait. */
    public queuedOf(team: TeamId): number {
        return this.counts.get(team)?.queued ?? 0;
    }

    /** Puts the operators' teams in force. */
    public applyTeams(teams: readonly Team[]): void {
        this.teams = new Map(teams.map(team => [team.id, team]));
        for (const model of this.models.values()) {
            this.applyWeights(model);
        }
    }

    /** Queues a request, or refuses it at once. */
    public offer(request: AdmissionRequest, now: number): Offer {
        if (this.tracked.has(request.id)) {
            return refuse(this.fault("inProgress", "the request is already here", undefined));
        }
        const model = this.modelOf(request.model);
        const wait = this.waitOf(request, model, now);
        if (this.isFull(request.caller)) {
            const message = "too many requests of the caller wait";
            return refuse(this.fault("overloaded", message, this.retryAt(wait, now)));
        }
        const startBy = request.startBy ?? latestStartOf(request, model.answers.serviceMilliseconds, now);
        const isLate = now + wait * lateStartMargin > startBy;
        if (now >= request.deadline || (isLate && this.options.refusesLateStarts !== false)) {
            const message = "the request cannot start before its deadline";
            return refuse(this.fault("deadlineUnreachable", message, this.retryAt(wait, now)));
        }
        this.track(request, startBy);
        this.count(request.caller, 1);
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
        this.latestStarts.put(tracked);
    }

    /** Takes the requests that may start now, in fair order; each then counts as started. */
    public startable(now: number, capacityOf: CapacityOf): readonly StartedRequest[] {
        const started: StartedRequest[] = [];
        for (const [name, model] of this.models) {
            this.startOf(name, model, now, capacityOf, started);
        }
        return started;
    }

    /** Puts back a started request that could not be sent; it keeps its place. */
    public putBack(id: RequestId, now: number): void {
        const tracked = this.tracked.get(id);
        if (tracked?.state !== "started") {
            return;
        }
        const { request } = tracked;
        this.latestStarts.put(tracked);
        this.chargeTokens(request, -request.promptTokens - tracked.prepaid, now);
        tracked.state = "queued";
        tracked.prepaid = 0;
        this.count(request.caller, 1);
        this.modelOf(request.model).queue.putBack(request);
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

    /** Ends a started request whose answer is whole; returns false if it had ended before. */
    public finish(id: RequestId, now: number): boolean {
        const tracked = this.tracked.get(id);
        if (tracked?.state === "started" && tracked.tokens > 0) {
            const { answers } = this.modelOf(tracked.request.model);
            answers.finished(tracked.tokens, now - tracked.startedAt);
        }
        return this.release(id, now);
    }

    /** Ends a request that waits or has started; returns false if it had ended before. */
    public abandon(id: RequestId, now: number): boolean {
        return this.release(id, now);
    }

    /** Refuses the waiting requests that can no longer start in time. */
    public expire(now: number): readonly Refusal[] {
        const refusals: Refusal[] = [];
        for (let next = this.latestStarts.peek(); next !== undefined; next = this.latestStarts.peek()) {
            if (next.startBy > now) {
                break;
            }
            refusals.push(this.giveUp(next.request, now));
        }
        this.exchange.expire(now);
        return refusals;
    }

    /** What this process tells its peers about use; each call begins a new period. */
    public usageSnapshot(): UsageSnapshot {
        return this.exchange.snapshot();
    }

    /** Charges what callers used through another entry process. */
    public applyPeerUsage(process: string, incarnation: number, snapshot: UsageSnapshot, now: number): void {
        for (const charge of this.exchange.applyPeer(process, incarnation, snapshot, now)) {
            this.chargePeer(charge, now);
        }
    }

    private startOf(
        name: string,
        model: ModelAdmission,
        now: number,
        capacityOf: CapacityOf,
        started: StartedRequest[],
    ): void {
        const room = new Map<boolean, number>();
        let sent = 0;
        for (let item = model.queue.peek(); item !== undefined; item = model.queue.peek()) {
            const borrowed = this.options.borrowing !== false && model.usage.isBorrowing(item.caller, now);
            const capacity = room.get(borrowed) ?? capacityOf(name, borrowed);
            room.set(borrowed, capacity);
            if (capacity - sent <= 0) {
                return;
            }
            model.queue.take();
            sent += 1;
            started.push(this.start(item.id, name, borrowed, now));
        }
    }

    private start(id: RequestId, model: string, borrowed: boolean, now: number): StartedRequest {
        const tracked = this.tracked.get(id)!;
        const { request } = tracked;
        const state = this.modelOf(model);
        tracked.state = "started";
        tracked.startedAt = now;
        tracked.prepaid = state.answers.tokensOf(request.expectedTokens);
        this.latestStarts.remove(tracked);
        this.count(request.caller, -1);
        const { team } = request.caller;
        state.estimate.started(team, state.queue.virtualTimeOf(team), now);
        state.answers.started(request.promptTokens + tracked.prepaid);
        this.chargeTokens(request, request.promptTokens + tracked.prepaid, now);
        const rank = this.teams.get(request.caller.team)?.rank ?? 0;
        return { id, model, priority: rank + (borrowed ? borrowedPriority : 0), borrowed };
    }

    private release(id: RequestId, now: number): boolean {
        const tracked = this.tracked.get(id);
        if (tracked === undefined) {
            return false;
        }
        this.tracked.delete(id);
        this.latestStarts.remove(tracked);
        const { request } = tracked;
        if (tracked.state === "queued") {
            this.count(request.caller, -1);
            this.modelOf(request.model).queue.remove(request);
            return true;
        }
        this.chargeTokens(request, -tracked.prepaid, now);
        return true;
    }

    private giveUp(request: AdmissionRequest, now: number): Refusal {
        const wait = this.waitOf(request, this.modelOf(request.model), now);
        this.release(request.id, now);
        const message = "the request did not start before its deadline";
        return { id: request.id, fault: this.fault("deadlinePassed", message, this.retryAt(wait, now)) };
    }

    private chargeTokens(request: AdmissionRequest, tokens: number, now: number): void {
        if (tokens === 0) {
            return;
        }
        const model = this.modelOf(request.model);
        model.queue.charge(request.caller, tokens);
        model.usage.add(request.caller, tokens, now);
        model.charges.addOwn(tokens, now);
        this.exchange.add(request.model, request.caller, tokens);
    }

    private chargePeer(charge: PeerCharge, now: number): void {
        const model = this.modelOf(charge.model);
        if (charge.subscriber === undefined) {
            model.queue.chargeTeam(charge.team, charge.tokens);
            model.usage.addToTeam(charge.team, charge.tokens, now);
            model.charges.addPeers(charge.tokens, now);
            return;
        }
        const caller = { team: charge.team, subscriber: charge.subscriber };
        model.queue.chargeSubscriber(caller, charge.tokens);
        model.usage.addToSubscriber(caller, charge.tokens, now);
    }

    private waitOf({ caller }: AdmissionRequest, model: ModelAdmission, now: number): number {
        if (model.queue.size === 0) {
            return 0;
        }
        const ahead = model.queue.aheadOf(caller, model.answers.meanCost);
        return model.estimate.waitOf(caller.team, ahead * model.charges.factor, now);
    }

    private retryAt(wait: number, now: number): number {
        const spread = 0.5 + 0.5 * this.options.random();
        return now + Math.max(earliestRetryMilliseconds, wait) * spread;
    }

    private isFull(caller: Caller): boolean {
        const count = this.counts.get(caller.team);
        const limits = this.teams.get(caller.team)?.limits ?? defaultLimits;
        return (
            count !== undefined &&
            (count.queued >= limits.queuedPerTeam ||
                (count.bySubscriber.get(caller.subscriber) ?? 0) >= limits.queuedPerSubscriber)
        );
    }

    private count(caller: Caller, change: number): void {
        const count = this.counts.get(caller.team) ?? { queued: 0, bySubscriber: new Map<string, number>() };
        this.counts.set(caller.team, count);
        count.queued += change;
        const own = (count.bySubscriber.get(caller.subscriber) ?? 0) + change;
        if (own === 0) {
            count.bySubscriber.delete(caller.subscriber);
            return;
        }
        count.bySubscriber.set(caller.subscriber, own);
    }

    private modelOf(name: string): ModelAdmission {
        let model = this.models.get(name);
        if (model === undefined) {
            const queue = (this.options.createQueue ?? FairQueue.create)();
            model = {
                queue,
                usage: RecentUsage.create(),
                estimate: StartEstimate.create(),
                answers: AnswerEstimate.create(),
                charges: ChargeShare.create(),
            };
            this.applyWeights(model);
            this.models.set(name, model);
        }
        return model;
    }

    private applyWeights(model: ModelAdmission): void {
        for (const team of this.teams.values()) {
            model.queue.applyTeam(team.id, team);
            model.usage.applyTeam(team.id, team.share);
        }
    }

    private fault(code: FaultCode, message: string, retryAt: number | undefined): Fault {
        return { code, message, step: "admit", notRun: true, retryAt };
    }
}

/** Keeps half of the remaining time for the wait, so that a wrong mean time cannot refuse every request. */
function latestStartOf(request: AdmissionRequest, serviceMilliseconds: number, now: number): number {
    const remaining = Math.max(0, request.deadline - now);
    return request.deadline - Math.min(serviceMilliseconds, remaining / 2);
}

function refuse(fault: Fault): Offer {
    return { kind: "refused", fault };
}
