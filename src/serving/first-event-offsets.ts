/**
 * How much later first events come than the engine model says, by model. Answers the load of engines with a fixed delay
 * that operators do not state: without it, requests count as in time that cannot be.
 */

/** Part of the first events that may come sooner than expected; queues that the model misses are not part of a fixed delay. */
const soonerPart = 0.35;
/** Change of the offset at each first event, in milliseconds; a hundred first events learn a usual delay. */
const stepMilliseconds = 8;
/** Longest offset, in milliseconds. */
const longestMilliseconds = 1_000;

export class FirstEventOffsets {
    private readonly offsets = new Map<string, number>();

    private constructor() {}

    public static create(): FirstEventOffsets {
        return new FirstEventOffsets();
    }

    /** Time to add to what the engine model expects, in milliseconds. */
    public of(model: string): number {
        return this.offsets.get(model) ?? 0;
    }

    /** Notes a first event that came `errorMilliseconds` later than expected with the present offset. */
    public record(model: string, errorMilliseconds: number): void {
        const step = errorMilliseconds > 0 ? soonerPart : soonerPart - 1;
        const offset = this.of(model) + 2 * stepMilliseconds * step;
        this.offsets.set(model, Math.min(longestMilliseconds, Math.max(0, offset)));
    }
}
