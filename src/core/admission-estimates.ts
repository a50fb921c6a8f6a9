/**
 * Estimates from recent requests: the time until a request that comes now would start, how long answers take, and how
 * many tokens they have.
 */
import type { TeamId } from "./teams.js";

/** Time in milliseconds over which the pace of starts is measured. */
const paceMemoryMilliseconds = 5_000;
/** Starts that must be known before an estimate is made. */
const startsNeeded = 8;

/** Progress of a queue's virtual time of late, decayed by time. */
interface Pace {
    starts: number;
    virtualTime: number;
    /** Sum of the progress, decayed. */
    progress: number;
    since: number;
    at: number;
}

/** Pace of a queue's virtual time by team, at one entry. */
export class StartEstimate {
    private readonly paces = new Map<TeamId, Pace>();

    private constructor() {}

    public static create(): StartEstimate {
        return new StartEstimate();
    }

    /** Notes a start of a team, after which its virtual time is as given. */
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

    /** Returns milliseconds until a team's virtual time has gone on by `ahead`, 0 if that is not known. */
    public waitOf(team: TeamId, ahead: number, now: number): number {
        const pace = this.paces.get(team);
        if (ahead <= 0 || pace === undefined || pace.starts < startsNeeded) {
            return 0;
        }
        const seen = paceMemoryMilliseconds * (1 - Math.exp((pace.since - now) / paceMemoryMilliseconds));
        const progress = progressOf(pace, now);
        return progress <= 0 ? 0 : (ahead * seen) / progress;
    }
}

function progressOf(pace: Pace, now: number): number {
    return pace.progress * Math.exp((pace.at - now) / paceMemoryMilliseconds);
}

/** Standard deviations above the mean time of an answer that a start leaves room for. */
const serviceDeviations = 2;
/** Tokens charged here and by peers, decayed by time. */
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

    /** Returns the tokens charged everywhere for each token charged here; at least 1. */
    public get factor(): number {
        return this.own <= 0 ? 1 : 1 + this.peers / this.own;
    }

    private decay(now: number): void {
        const kept = Math.exp((this.at - now) / paceMemoryMilliseconds);
        this.own *= kept;
        this.peers *= kept;
        this.at = now;
    }
}

/** Weight of one answer in the means. */
const answerWeight = 0.02;

/** Mean length and time of the answers of one model. */
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

    /** Notes a whole answer. */
    public finished(tokens: number, milliseconds: number): void {
        this.answers += 1;
        const weight = Math.max(answerWeight, 1 / this.answers);
        this.tokens += weight * (tokens - this.tokens);
        this.milliseconds += weight * (milliseconds - this.milliseconds);
        this.squares += weight * (milliseconds ** 2 - this.squares);
    }

    /** Notes the cost in tokens with which a request started. */
    public started(cost: number): void {
        this.starts += 1;
        this.cost += Math.max(answerWeight, 1 / this.starts) * (cost - this.cost);
    }

    /** Mean cost of a request in tokens. */
    public get meanCost(): number {
        return this.cost;
    }

    /** Returns the expected tokens of an answer that has `most` at most. */
    public tokensOf(most: number): number {
        return this.answers === 0 ? most : Math.min(most, this.tokens);
    }

    /** Milliseconds from start to last token that few answers exceed; 0 if not known. */
    public get serviceMilliseconds(): number {
        const deviation = Math.sqrt(Math.max(0, this.squares - this.milliseconds ** 2));
        return this.milliseconds + serviceDeviations * deviation;
    }
}
