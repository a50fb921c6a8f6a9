/**
 * Limits the weight loads that one placer begins: to its share of the weight store's rate and of the number of concurrent
 * loads that the store serves at full speed, and to hosts that are not already loading.
 */
import type { EngineModel, EngineProfile } from "../engine-model.js";
import type { Candidate } from "./group-choices.js";
import type { OrderReply } from "../group-orders.js";
import { LoadRateLimiter } from "../load-rate-limiter.js";
import { SpareStagings } from "./spare-stagings.js";

/** Time after a first start in which no spares are staged, so that forming groups use the weight store first. */
const stagingDelayMilliseconds = 4_500;
/** Maximum concurrent loads of a failure domain, as a multiple of its share of the store's loads at full speed. */
const loadOverbookingFactor = 2;

export interface WeightLoadOptions {
    /** True if no weights were ever loaded; loads are then not rate-limited until traffic starts. */
    readonly isFirstStart: boolean;
    /** Local monotonic milliseconds. */
    readonly startedAt: number;
    /** Failure domains that share the weight store's rate. */
    readonly failureDomains: number;
}

/** A service whose instances load weights. */
export interface LoadingService {
    readonly service: string;
    readonly profile: EngineProfile;
}

export class WeightLoadLimiter {
    private readonly stagings = SpareStagings.create();
    private readonly limiters = new Map<string, LoadRateLimiter>();

    private constructor(private readonly options: WeightLoadOptions) {}

    public static create(options: WeightLoadOptions): WeightLoadLimiter {
        return new WeightLoadLimiter(options);
    }

    /** True while loads are not rate-limited. */
    public isUnlimited(of: LoadingService, now: number): boolean {
        return this.limiterOf(of, now).isUnlimited(now);
    }

    /** Takes `loads` loads from the rate limit; takes none and returns false if they exceed it. */
    public tryTake(of: LoadingService, loads: number, now: number): boolean {
        return this.limiterOf(of, now).tryTake(loads, now);
    }

    /** True if another spare may be staged now; `mayLoad` tells whether an instance may still be loading a model. */
    public canStage(
        of: LoadingService,
        mayLoad: (id: string, model: string | undefined) => boolean,
        now: number,
    ): boolean {
        const { isFirstStart, startedAt } = this.options;
        if (isFirstStart && now < startedAt + stagingDelayMilliseconds) {
            return false;
        }
        return this.isUnlimited(of, now) || this.stagings.count(mayLoad, now) < this.maximumLoads(of.profile);
    }

    public startStaging(id: string, model: EngineModel, now: number): void {
        this.stagings.start(id, model, now);
    }

    /** Handles the reply to an order to load weights onto a host. */
    public handleReply(service: string, id: string, reply: OrderReply, now: number): void {
        if (reply.kind === "refused") {
            this.stagings.markBusy(id, now);
            this.limiters.get(service)?.returnToken();
        } else if (reply.kind !== "begun" && reply.kind !== "holds") {
            this.stagings.discard(id);
        }
    }

    /** Returns the model that an instance is loading by an order of this placer. */
    public modelLoading(id: string, now: number): string | undefined {
        return this.stagings.modelLoading(id, now);
    }

    /** Returns the candidate with the weights that it is loading counted as staged. */
    public withLoadingWeights(candidate: Candidate, now: number): Candidate {
        return this.stagings.withLoadingWeights(candidate, now);
    }

    /**
     * Returns the maximum number of concurrent loads, which exceeds the failure domain's share because failure domains
     * seldom load at the same time.
     */
    private maximumLoads(profile: EngineProfile): number {
        const share = profile.concurrentLoads / this.options.failureDomains;
        return Math.max(1, Math.floor(loadOverbookingFactor * share));
    }

    private limiterOf({ service, profile }: LoadingService, now: number): LoadRateLimiter {
        let limiter = this.limiters.get(service);
        if (limiter === undefined) {
            const { isFirstStart, startedAt, failureDomains } = this.options;
            limiter = LoadRateLimiter.create(
                {
                    loadsPerSecond: profile.loadsPerSecond / failureDomains,
                    burst: 1,
                    unlimitedUntil: isFirstStart ? startedAt + 2 * stagingDelayMilliseconds : startedAt,
                },
                now,
            );
            this.limiters.set(service, limiter);
        }
        return limiter;
    }
}
