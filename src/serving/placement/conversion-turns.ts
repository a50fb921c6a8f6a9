/**
 * Decides when the holder of one failure domain's placement lease may begin a conversion. Several holders see the same shortage;
 * the first in the order of the plan acts, and the others hold for as long as a load takes, unless the shortage persists.
 */
import type { EngineModel } from "../engine-model.js";
import type { ConversionProposal, RunningConversion } from "./conversion-plan.js";

/** Time for which a conversion must be proposed before it begins, in milliseconds: registrations are read late. */
const confirmationMilliseconds = 2_000;
/** Time beyond a load in which a group is drained and formed again, in milliseconds. */
const formingMilliseconds = 3_000;

/** What a turn depends on. */
export interface TurnState {
    /** Proposals in the order in which they should be carried out. */
    readonly proposals: readonly ConversionProposal[];
    /** Conversions of all failure domains that are in progress, the own ones included. */
    readonly running: readonly RunningConversion[];
    readonly models: readonly EngineModel[];
}

/** A proposal of the own failure domain, and whether it may begin now. */
export interface Turn {
    readonly proposal: ConversionProposal;
    /** Position of the own failure domain in the order. */
    readonly rank: number;
    /** Local monotonic milliseconds. */
    readonly startsAt: number;
    readonly isDue: boolean;
}

export class ConversionTurns {
    /** Local monotonic milliseconds since when the model of a key is lacking without a break. */
    private readonly lackingSince = new Map<string, number>();
    /** Local monotonic milliseconds at which a conversion to the model of a key was last seen to begin. */
    private readonly lastBegunAt = new Map<string, number>();
    private runningKeys: ReadonlySet<string> = new Set();

    private constructor(private readonly failureDomain: string) {}

    public static create(failureDomain: string): ConversionTurns {
        return new ConversionTurns(failureDomain);
    }

    /** Returns the turn of the own failure domain; undefined if it has nothing to convert. */
    public decide({ proposals, running, models }: TurnState, now: number): Turn | undefined {
        this.recordRunning(running, now);
        const to = proposals[0]?.to;
        [...this.lackingSince.keys()]
            .filter(model => model !== to)
            .forEach(model => this.lackingSince.delete(model));
        if (to === undefined) {
            return undefined;
        }
        const since = this.lackingSince.get(to) ?? now;
        this.lackingSince.set(to, since);
        const rank = proposals.findIndex(each => each.failureDomain === this.failureDomain);
        const proposal = proposals[rank];
        if (proposal === undefined) {
            return undefined;
        }
        const loadMilliseconds = models.find(({ name }) => name === to)?.loadMilliseconds ?? 0;
        const hold = loadMilliseconds + formingMilliseconds;
        const firstAt = Math.max(
            since + confirmationMilliseconds,
            (this.lastBegunAt.get(to) ?? -Infinity) + hold,
        );
        const startsAt = firstAt + rank * hold;
        return { proposal, rank, startsAt, isDue: now >= startsAt };
    }

    private recordRunning(running: readonly RunningConversion[], now: number): void {
        const keys = new Set(running.map(({ failureDomain, from, to }) => `${failureDomain} ${from} ${to}`));
        running
            .filter(({ failureDomain, from, to }) => !this.runningKeys.has(`${failureDomain} ${from} ${to}`))
            .forEach(({ to }) => this.lastBegunAt.set(to, now));
        this.runningKeys = keys;
    }
}
