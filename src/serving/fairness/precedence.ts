/**
 * Orders the requests of a pool while its capacity is short. Each request has a score; its precedence is the part of the
 * recent requests with a lower one, so that the bars that follow from it spread evenly whatever the load is.
 */

/** Number of recent scores that a request is compared with. */
const windowSize = 48;
/** Maximum absolute effect of a workspace's use of its share, in ranks. */
const maximumOveruseRanks = 3;
/** Effect in ranks of twice the share of a workspace. */
const overuseRanks = 2;
/** Effect in ranks of one key that asks for twice the mean of its workspace's keys, and the maximum one. */
const keyRanks = 0.75;
const maximumKeyRanks = 2;
/** Effect in ranks of a session whose last request was refused, or was served. */
const sessionRanks = 0.75;
/** Effect in ranks of a return without a promise. With 0.3, more callers were refused twice at 1.3 times the capacity. */
const returnRanks = 1;
/** Random part of a score, in ranks; without it, equal requests would all be served or all be refused. */
const randomRanks = 1;

/** What a request's score depends on. */
export interface PrecedenceFacts {
    /** Urgency; 0 is the most urgent. */
    readonly rank: number;
    /** What the workspace received lately as a multiple of its share. */
    readonly overuse: number;
    /** What the key asked for as a multiple of the mean of its workspace's keys. */
    readonly keyRatio: number;
    readonly session: "refused" | "served" | "unknown";
    readonly isReturning: boolean;
    /** Number from [0, 1). */
    readonly draw: number;
}

/** Returns the score of a request in ranks; higher ones go first. */
export function scoreOf(facts: PrecedenceFacts): number {
    const overuse = clamp(overuseRanks * Math.log2(facts.overuse), maximumOveruseRanks);
    const key = Math.max(0, clamp(keyRanks * Math.log2(facts.keyRatio), maximumKeyRanks));
    const session = { refused: sessionRanks, served: -sessionRanks, unknown: 0 }[facts.session];
    return (
        -facts.rank -
        overuse -
        key +
        session +
        (facts.isReturning ? returnRanks : 0) +
        randomRanks * facts.draw
    );
}

/** Recent scores of the requests of one pool. */
export class ScoreWindow {
    private readonly scores: number[] = [];

    private constructor() {}

    public static create(): ScoreWindow {
        return new ScoreWindow();
    }

    public add(score: number): void {
        this.scores.push(score);
        if (this.scores.length > windowSize) {
            this.scores.shift();
        }
    }

    /** Returns the part of the recent scores that are lower; 1 if there are none. */
    public precedenceOf(score: number): number {
        const lower = this.scores.filter(each => each < score).length;
        return this.scores.length === 0 ? 1 : lower / this.scores.length;
    }
}

function clamp(value: number, maximum: number): number {
    return Math.max(-maximum, Math.min(maximum, value));
}
