/**
 * Averages of the groups that the work of each model takes, and the models that are short of groups for longer than a crest.
 * Covers demand that swings within 11 to 17 s, while a load of weights takes 12 to 16 s: a group that followed each
 * crest would be ready in the trough.
 */

/** Weight of the newest sample in the fast average; at four samples a second a change counts for two thirds after 3 s. */
const fastSampleWeight = 0.08;
/**
 * Weight of the newest sample in the steady average: a time constant of 12 s, which leaves a fifth of a swing with a period of
 * 17 s.
 */
const steadySampleWeight = 0.02;
/** Minimum samples of which a shortage is concluded; eight seconds. */
const minimumSamples = 32;
/** Minimum samples of a shortage that no swing of the demand explains; three seconds. */
const minimumSamplesOfLack = 12;
/** Steady demand, as a fraction of the groups, that no swing explains: demand swings by up to 0.55 around its mean. */
const lackUtilization = 2;
/** Steady demand, as a fraction of the groups, above which a model is persistently short. */
const shortUtilization = 1;
/** Steady demand, as a fraction of the groups, below which a model is no longer persistently short. */
const amendedUtilization = 0.75;
/** Minimum refused work, as a fraction of the groups, of a persistent shortage: work that merely waits needs no group. */
const minimumRefusedFraction = 0.1;
/** Refused work, in groups, that counts as requests for a model without groups. */
const minimumRefusedGroups = 0.02;

/** Groups of one model that the work of one sample takes. */
export interface ModelUsage {
    /** Groups that the work in flight and the refused work would fill. */
    readonly inUse: number;
    /** Part of `inUse` that is refused. */
    readonly refused: number;
}

/** Averages of one model. */
export interface ModelAverages {
    readonly fast: ModelUsage;
    readonly steady: ModelUsage;
    readonly isPersistentlyShort: boolean;
}

const noUsage: ModelUsage = { inUse: 0, refused: 0 };
const noAverages: ModelAverages = { fast: noUsage, steady: noUsage, isPersistentlyShort: false };

export class DemandAverages {
    private readonly byModel = new Map<string, ModelAverages>();
    private samples = 0;

    private constructor() {}

    public static create(): DemandAverages {
        return new DemandAverages();
    }

    public get models(): readonly string[] {
        return [...this.byModel.keys()];
    }

    public of(model: string): ModelAverages {
        return this.byModel.get(model) ?? noAverages;
    }

    /** Records one sample of each model's usage; `groups` are the groups that take requests, by model. */
    public record(usage: ReadonlyMap<string, ModelUsage>, groups: ReadonlyMap<string, number>): void {
        this.samples += 1;
        // The first samples count equally: a new holder of a placement lease knows the demand of its first seconds only.
        const steadyWeight = Math.max(steadySampleWeight, 1 / this.samples);
        for (const model of new Set([...usage.keys(), ...groups.keys(), ...this.byModel.keys()])) {
            const { fast, steady, isPersistentlyShort } = this.of(model);
            const sample = usage.get(model) ?? noUsage;
            const averages = {
                fast: average(fast, sample, fastSampleWeight),
                steady: average(steady, sample, steadyWeight),
                isPersistentlyShort,
            };
            this.byModel.set(model, {
                ...averages,
                isPersistentlyShort: this.isShort(averages, groups.get(model) ?? 0),
            });
        }
    }

    private isShort({ steady, isPersistentlyShort }: ModelAverages, groups: number): boolean {
        if (isPersistentlyShort) {
            return groups === 0 ? steady.inUse > 0 : steady.inUse >= amendedUtilization * groups;
        }
        const refusedThreshold = Math.max(minimumRefusedGroups, minimumRefusedFraction * groups);
        const isLack = steady.inUse >= lackUtilization * groups;
        return (
            this.samples >= (isLack ? minimumSamplesOfLack : minimumSamples) &&
            steady.inUse > shortUtilization * groups &&
            steady.refused >= refusedThreshold
        );
    }
}

function average(previous: ModelUsage, sample: ModelUsage, weight: number): ModelUsage {
    return {
        inUse: previous.inUse + weight * (sample.inUse - previous.inUse),
        refused: previous.refused + weight * (sample.refused - previous.refused),
    };
}
