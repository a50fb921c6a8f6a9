/**
 * Estimates from recent requests: the time until a new request would start, how long answers take and how many tokens
 * they have.
 */
import type { TeamId } from "./teams.js";

/** Time constant, in milliseconds, of the exponential decay of start rates and charges. */
const paceMemoryMilliseconds = 5_000;
/** Number of starts before a wait is estimated. */
const startsNeeded = 8;

/** Recent progress of a team's virtual time, with exponential decay. */
interface Pace {
    starts: number;
    virtualTime: number;
    /** Decayed sum of virtual-time increments. */
    progress: number;
    since: number;
    at: number;
}

/** Estimates waits from how fast each team's virtual time advances at one entry. */
export class StartEstimate {
    private readonly paces = new Map<TeamId, Pace>();

    private constructor() {}

    public static create(): StartEstimate {
        return new StartEstimate();
    }

    /** Records a start; `virtualTime` is the team's virtual time after it. */
    public started(team: TeamId, virtualTime: number, now: number): void {
        const pace = this.paces.get(team);
        if (pace === undefined) {
            this.paces.set(team, { starts: 1, virtualTime, progress: 0, since: now, at: now });
            return;
        }
        pace.progress = progressOf(pace, now) + Math.max(0, virtualTime - pace.virtualTime);
        pace.virtualTime = virtualTime;
        pace.starts += 1;
        pace.at = now;
    }

    /** Returns the milliseconds until a team's virtual time has advanced by `ahead`; 0 if unknown. */
    public waitOf(team: TeamId, ahead: number, now: number): number {
        const pace = this.paces.get(team);
        if (ahead <= 0 || pace === undefined || pace.starts < startsNeeded) {
            return 0;
        }
        const observedMilliseconds =
            paceMemoryMilliseconds * (1 - Math.exp((pace.since - now) / paceMemoryMilliseconds));
        const progress = progressOf(pace, now);
        return progress <= 0 ? 0 : (ahead * observedMilliseconds) / progress;
    }
}

function progressOf(pace: Pace, now: number): number {
    return pace.progress * Math.exp((pace.at - now) / paceMemoryMilliseconds);
}

/** Standard deviations added to the mean answer time when the latest start is computed. */
const serviceDeviations = 2;

/** Tokens charged by this entry and by its peers, with exponential decay. */
export class ChargeShare {
    private own = 0;
    private peers = 0;
    private at = 0;

    private constructor() {}

    public static create(): ChargeShare {
        return new ChargeShare();
    }

    public addOwn(tokens: number, now: number): void {
        this.decay(now);
        this.own = Math.max(0, this.own + tokens);
    }

    public addPeers(tokens: number, now: number): void {
        this.decay(now);
        this.peers = Math.max(0, this.peers + tokens);
    }

    /** Tokens charged by all entries for each token charged by this one; at least 1. */
    public get factor(): number {
        return this.own <= 0 ? 1 : 1 + this.peers / this.own;
    }

    private decay(now: number): void {
        const factor = Math.exp((this.at - now) / paceMemoryMilliseconds);
        this.own *= factor;
        this.peers *= factor;
        this.at = now;
    }
}

/** Smallest weight of one sample in the running means. */
const answerWeight = 0.02;

/** Running means of the length, time and start cost of one model's requests. */
export class AnswerEstimate {
    private answers = 0;
    private tokens = 0;
    private milliseconds = 0;
    private squares = 0;
    private starts = 0;
    private cost = 0;

    private constructor() {}

    public static create(): AnswerEstimate {
        return new AnswerEstimate();
    }

    /** Records a complete answer. */
    public finished(tokens: number, milliseconds: number): void {
        this.answers += 1;
        const weight = Math.max(answerWeight, 1 / this.answers);
        this.tokens += weight * (tokens - this.tokens);
        this.milliseconds += weight * (milliseconds - this.milliseconds);
        this.squares += weight * (milliseconds ** 2 - this.squares);
    }

    /** Records the tokens charged when a request started. */
    public started(cost: number): void {
        this.starts += 1;
        this.cost += Math.max(answerWeight, 1 / this.starts) * (cost - this.cost);
    }

    /** Mean tokens charged when a request starts. */
    public get meanCost(): number {
        return this.cost;
    }

    /** Returns the expected tokens of an answer that may have at most `maximumTokens` tokens. */
    public tokensOf(maximumTokens: number): number {
        return this.answers === 0 ? maximumTokens : Math.min(maximumTokens, this.tokens);
    }

    /** Milliseconds from start to last token that few answers exceed (mean plus deviations); 0 if unknown. */
    public get serviceMilliseconds(): number {
        const deviation = Math.sqrt(Math.max(0, this.squares - this.milliseconds ** 2));
        return this.milliseconds + serviceDeviations * deviation;
    }
}
