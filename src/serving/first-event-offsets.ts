/**
 * Learns by model how much later first events arrive than the engine model predicts. Covers engines with a fixed delay
 * that is missing from the configuration: without the offset, requests that cannot meet their objective count as in time.
 */

/**
 * Fraction of the first events that arrive earlier than predicted with the learnt offset; below one half, because queueing
 * that the engine model misses is not part of a fixed delay.
 */
const earlyFraction = 0.35;
/**
 * Mean change of the offset per first event, in milliseconds; a usual delay is learnt within a hundred first
 * events.
 */
const offsetStepMilliseconds = 8;
/** Maximum offset, in milliseconds. */
const maximumOffsetMilliseconds = 1_000;

export class FirstEventOffsets {
    private readonly offsets = new Map<string, number>();

    private constructor() {}

    public static create(): FirstEventOffsets {
        return new FirstEventOffsets();
    }

    /** Time to add to the prediction of the engine model, in milliseconds. */
    public offsetOf(model: string): number {
        return this.offsets.get(model) ?? 0;
    }

    /** Records a first event that arrived `errorMilliseconds` later than predicted with the current offset. */
    public record(model: string, errorMilliseconds: number): void {
        const change = errorMilliseconds > 0 ? earlyFraction : earlyFraction - 1;
        const offset = this.offsetOf(model) + 2 * offsetStepMilliseconds * change;
        this.offsets.set(model, Math.min(maximumOffsetMilliseconds, Math.max(0, offset)));
    }
}
