/** Measurements of a run: times as callers see them, tokens by caller, refusals. */
import * as histograms from "hdr-histogram-js";
import type { Caller } from "../../src/core/requests.js";

const microsecondsPerMillisecond = 1_000;

/** Times in milliseconds, recorded with a resolution of one microsecond. */
export class Times {
    private readonly histogram = histograms.build({ numberOfSignificantValueDigits: 3 });

    private constructor() {}

    public static create(): Times {
        return new Times();
    }

    public get count(): number {
        return this.histogram.totalCount;
    }

    public add(milliseconds: number): void {
        this.histogram.recordValue(Math.max(0, Math.round(milliseconds * microsecondsPerMillisecond)));
    }

    /** Returns the given percentile in milliseconds. */
    public percentile(percent: number): number {
        return this.histogram.getValueAtPercentile(percent) / microsecondsPerMillisecond;
    }
}

/** Measurements of one run from the end of its warm-up on. */
export class Figures {
    public readonly firstToken = Times.create();
    public readonly heavyFirstToken = Times.create();
    public readonly gap = Times.create();
    public readonly refusal = Times.create();
    public readonly tokensOf = new Map<string, number>();
    /** Prompt and generated tokens by team; the cost on which team shares are based. */
    public readonly costOfTeam = new Map<string, number>();
    public offered = 0;
    public refused = 0;
    public givenUp = 0;
    public completed = 0;
    /** Tokens of answers that were complete before their deadline. */
    public goodTokens = 0;
    public lateTokens = 0;
    public sends = 0;
    public retries = 0;
    public failures = 0;

    private constructor(
        public readonly from: number,
        private readonly isHeavy: (caller: Caller) => boolean,
    ) {}

    public static create(from: number, isHeavy: (caller: Caller) => boolean): Figures {
        return new Figures(from, isHeavy);
    }

    public addFirstToken(caller: Caller, milliseconds: number): void {
        (this.isHeavy(caller) ? this.heavyFirstToken : this.firstToken).add(milliseconds);
    }

    public addGap(caller: Caller, milliseconds: number): void {
        if (!this.isHeavy(caller)) {
            this.gap.add(milliseconds);
        }
    }

    public addTokens(caller: Caller, tokens: number): void {
        const name = `${caller.team}/${caller.subscriber}`;
        this.tokensOf.set(name, (this.tokensOf.get(name) ?? 0) + tokens);
    }

    public addCost(team: string, tokens: number): void {
        this.costOfTeam.set(team, (this.costOfTeam.get(team) ?? 0) + tokens);
    }

    /** Returns Jain's fairness index over the tokens of the subscribers that are not heavy. */
    public jainIndex(callers: readonly Caller[]): number {
        const served = callers
            .filter(caller => !this.isHeavy(caller))
            .map(caller => this.tokensOf.get(`${caller.team}/${caller.subscriber}`) ?? 0);
        const sum = served.reduce((total, tokens) => total + tokens, 0);
        const squares = served.reduce((total, tokens) => total + tokens ** 2, 0);
        return squares === 0 ? 1 : sum ** 2 / (served.length * squares);
    }
}

/** Rounds to the given number of decimal places. */
export function round(value: number, places = 3): number {
    return Math.round(value * 10 ** places) / 10 ** places;
}
