/**
 * Predicts how many tokens the engine will generate for a request. Covers requests that look alike and cost engines very
 * different amounts of time. It learns from complete streams by route, model and workspace, and weighs what it learnt and
 * the caller's hint by how far off each has been.
 */

/** What is known of the output of a request when it arrives. */
export interface OutputQuestion {
    readonly route: string;
    readonly model: string;
    readonly workspace: string | undefined;
    /** Maximum number of output tokens that the caller states; undefined if it states none. */
    readonly maximumTokens: number | undefined;
    /** Number of output tokens that the caller expects; undefined if it states none. */
    readonly hintTokens: number | undefined;
    /** Number of output tokens that the configuration states as usual. */
    readonly usualTokens: number;
}

/** Expected output of one request, in tokens. */
export interface OutputEstimate {
    readonly tokens: number;
    /** Infinite if the caller states no maximum. */
    readonly maximumTokens: number;
}

/** Moving averages over the observations of one key. */
interface Observations {
    readonly count: number;
    /** Mean of the logarithms of the lengths, or for hints of the ratios of length and hint. */
    readonly meanLogarithm: number;
    /** Mean distance of a logarithm from the mean before it. */
    readonly meanError: number;
}

/** Weight of the newest observation, once there are enough for the mean of all to move more slowly. */
const newestWeight = 0.05;
/** Observations of a key below which a broader one is used. */
const minimumObservations = 6;
/** Error, as a difference of natural logarithms, that a key is taken to have before its first observations. */
const initialError = 1;
/** Lowest error that counts, so that a few equal lengths do not outweigh everything else. */
const minimumError = 0.1;
/** Maximum number of keys; the one that was used longest ago is dropped first. */
const maximumKeys = 2_000;
/** Limits of the factor between observed and predicted tokens: a mean of logarithms is below the mean of lengths. */
const calibrationLimits = { minimum: 0.5, maximum: 3 };
/** Expected rest of a stream that has outlived its estimate, as a fraction of what it has generated. */
const outlivedRestFraction = 0.25;

export class OutputPredictor {
    private readonly observations = new Map<string, Observations>();
    /** Moving averages of observed and of predicted tokens. */
    private readonly totals = new Map<string, { readonly observed: number; readonly predicted: number }>();

    private constructor() {}

    public static create(): OutputPredictor {
        return new OutputPredictor();
    }

    /** Number of keys with observations. */
    public get keyCount(): number {
        return this.observations.size;
    }

    public predict(question: OutputQuestion): OutputEstimate {
        const { hintTokens, maximumTokens = Number.POSITIVE_INFINITY } = question;
        const learnt = this.learntOf(question);
        const sources = [{ logarithm: learnt.meanLogarithm, error: learnt.meanError }];
        if (hintTokens !== undefined && hintTokens > 0) {
            const hints = this.observations.get(hintKey(question));
            const isKnown = hints !== undefined && hints.count >= minimumObservations;
            sources.push({
                logarithm: Math.log(hintTokens) + (isKnown ? hints.meanLogarithm : 0),
                error: isKnown ? hints.meanError : initialError,
            });
        }
        const weights = sources.map(({ error }) => 1 / Math.max(minimumError, error) ** 2);
        const sum = sources.reduce((total, { logarithm }, index) => total + logarithm * weights[index]!, 0);
        const logarithm = sum / weights.reduce((total, weight) => total + weight, 0);
        const tokens = Math.max(1, Math.exp(logarithm) * this.calibrationOf(question.model));
        return { tokens: Math.min(tokens, maximumTokens), maximumTokens };
    }

    /** Records that a stream with this estimate ended by itself after `tokens` tokens. */
    public record(question: OutputQuestion, estimate: OutputEstimate, tokens: number): void {
        const logarithm = Math.log(Math.max(1, tokens));
        keysOf(question).forEach(key => this.observe(key, logarithm));
        if (question.hintTokens !== undefined && question.hintTokens > 0) {
            this.observe(hintKey(question), logarithm - Math.log(question.hintTokens));
        }
        const { observed, predicted } = this.totals.get(question.model) ?? {
            observed: estimate.tokens,
            predicted: estimate.tokens,
        };
        this.totals.set(question.model, {
            observed: observed + newestWeight * (tokens - observed),
            predicted:
                predicted + newestWeight * (estimate.tokens / this.calibrationOf(question.model) - predicted),
        });
        dropOldest(this.totals);
    }

    /** Observations of the narrowest key that has enough of them. */
    private learntOf(question: OutputQuestion): Observations {
        const known = keysOf(question).map(key => this.observations.get(key));
        return (
            known.find(each => each !== undefined && each.count >= minimumObservations) ?? {
                count: 0,
                meanLogarithm: Math.log(Math.max(1, question.usualTokens)),
                meanError: initialError,
            }
        );
    }

    private calibrationOf(model: string): number {
        const totals = this.totals.get(model);
        const factor = totals === undefined ? 1 : totals.observed / Math.max(1, totals.predicted);
        return Math.min(calibrationLimits.maximum, Math.max(calibrationLimits.minimum, factor));
    }

    private observe(key: string, logarithm: number): void {
        const before = this.observations.get(key) ?? {
            count: 0,
            meanLogarithm: logarithm,
            meanError: initialError,
        };
        const count = before.count + 1;
        const weight = Math.max(newestWeight, 1 / count);
        const error = Math.abs(logarithm - before.meanLogarithm);
        this.observations.delete(key);
        this.observations.set(key, {
            count,
            meanLogarithm: before.meanLogarithm + weight * (logarithm - before.meanLogarithm),
            meanError:
                before.meanError + Math.max(newestWeight, 1 / (count + 1)) * (error - before.meanError),
        });
        dropOldest(this.observations);
    }
}

/**
 * Returns the expected number of tokens that a stream has yet to generate. A stream that outlives its estimate is expected
 * to go on for longer the longer it has run.
 */
export function remainingTokens({ tokens, maximumTokens }: OutputEstimate, generated: number): number {
    const rest = Math.max(tokens - generated, outlivedRestFraction * generated);
    return Math.max(0, Math.min(rest, maximumTokens - generated));
}

/** Keys of a request, the narrowest first. */
function keysOf({ route, model, workspace }: OutputQuestion): readonly string[] {
    return [`${route}\n${model}\n${workspace ?? ""}`, `${route}\n${model}`, model];
}

function hintKey({ route, model }: OutputQuestion): string {
    return `hint\n${route}\n${model}`;
}

function dropOldest(table: Map<string, unknown>): void {
    for (const key of table.keys()) {
        if (table.size <= maximumKeys) {
            return;
        }
        table.delete(key);
    }
}
