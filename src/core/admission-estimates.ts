/**
 * Estimates from recent requests: the wait until a new request starts, and the duration and token count of answers.
 */
import type { TeamId } from "./teams.js";

/** Time constant, in milliseconds, of the exponential decay of start rates and charges. */
const decayMilliseconds = 5_000;
/** Minimum number of recorded starts of a team; with fewer, no wait is estimated. */
const minimumStarts = 8;

/** Recent progress of a team's virtual time, with exponential decay. */
interface VirtualTimePace {
    startCount: number;
    virtualTime: number;
    /** Decayed sum of virtual-time increments. */
    progress: number;
    createdAt: number;
    updatedAt: number;
}

/** Estimates waits from how fast each team's virtual time advances at one entry. */
export class StartEstimate {
    private readonly paces = new Map<TeamId, VirtualTimePace>();

    private constructor() {}

    public static create(): StartEstimate {
        return new StartEstimate();
    }

    /** Records a start; `virtualTime` is the queue's `virtualTimeOf(team)` after it. */
    public recordStart(team: TeamId, virtualTime: number, now: number): void {
        const pace = this.paces.get(team);
        if (pace === undefined) {
            this.paces.set(team, { startCount: 1, virtualTime, progress: 0, createdAt: now, updatedAt: now });
            return;
        }
        pace.progress = decayedProgress(pace, now) + Math.max(0, virtualTime - pace.virtualTime);
        pace.virtualTime = virtualTime;
        pace.startCount += 1;
        pace.updatedAt = now;
    }

    /** Returns the milliseconds until a team's virtual time has advanced by `ahead`; 0 if unknown. */
    public estimateWait(team: TeamId, ahead: number, now: number): number {
        const pace = this.paces.get(team);
        if (ahead <= 0 || pace === undefined || pace.startCount < minimumStarts) {
            return 0;
        }
        const observedMilliseconds =
            decayMilliseconds * (1 - Math.exp((pace.createdAt - now) / decayMilliseconds));
        const progress = decayedProgress(pace, now);
        return progress <= 0 ? 0 : (ahead * observedMilliseconds) / progress;
    }
}

function decayedProgress(pace: VirtualTimePace, now: number): number {
    return pace.progress * Math.exp((pace.updatedAt - now) / decayMilliseconds);
}

/** Standard deviations added to the mean answer time when the latest start is computed. */
const serviceTimeDeviations = 2;

/** Tokens charged by this entry and by its peers, with exponential decay. */
export class ChargeRatio {
    private own = 0;
    private peers = 0;
    private updatedAt = 0;

    private constructor() {}

    public static create(): ChargeRatio {
        return new ChargeRatio();
    }

    public addOwn(tokens: number, now: number): void {
        this.decay(now);
        this.own = Math.max(0, this.own + tokens);
    }

    public addPeer(tokens: number, now: number): void {
        this.decay(now);
        this.peers = Math.max(0, this.peers + tokens);
    }

    /** Tokens charged by all entries for each token charged by this one; at least 1. */
    public get totalPerOwnToken(): number {
        return this.own <= 0 ? 1 : 1 + this.peers / this.own;
    }

    private decay(now: number): void {
        const totalPerOwnToken = Math.exp((this.updatedAt - now) / decayMilliseconds);
        this.own *= totalPerOwnToken;
        this.peers *= totalPerOwnToken;
        this.updatedAt = now;
    }
}

/** Smallest weight of one sample in the running means. */
const minimumSampleWeight = 0.02;

/** Running means of the length, time and start cost of one model's requests. */
export class AnswerEstimate {
    private answerCount = 0;
    private tokens = 0;
    private milliseconds = 0;
    private meanSquaredMilliseconds = 0;
    private startCount = 0;
    private meanStartCost = 0;

    private constructor() {}

    public static create(): AnswerEstimate {
        return new AnswerEstimate();
    }

    /** Records a complete answer. */
    public recordAnswer(tokens: number, milliseconds: number): void {
        this.answerCount += 1;
        const weight = Math.max(minimumSampleWeight, 1 / this.answerCount);
        this.tokens += weight * (tokens - this.tokens);
        this.milliseconds += weight * (milliseconds - this.milliseconds);
        this.meanSquaredMilliseconds += weight * (milliseconds ** 2 - this.meanSquaredMilliseconds);
    }

    /** Records the tokens charged when a request started. */
    public recordStart(meanStartCost: number): void {
        this.startCount += 1;
        this.meanStartCost +=
            Math.max(minimumSampleWeight, 1 / this.startCount) * (meanStartCost - this.meanStartCost);
    }

    /** Mean tokens charged when a request starts. */
    public get meanCost(): number {
        return this.meanStartCost;
    }

    /** Returns the expected tokens of an answer that may have at most `maximumTokens` tokens. */
    public expectedTokens(maximumTokens: number): number {
        return this.answerCount === 0 ? maximumTokens : Math.min(maximumTokens, this.tokens);
    }

    /** Milliseconds from start to last token that few answers exceed (mean plus deviations); 0 if unknown. */
    public get serviceMilliseconds(): number {
        const deviation = Math.sqrt(Math.max(0, this.meanSquaredMilliseconds - this.milliseconds ** 2));
        return this.milliseconds + serviceTimeDeviations * deviation;
    }
}
