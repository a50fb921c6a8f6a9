/**
 * How many entry instances share what the replicas allow all of them together. Answers the load of entry instances that
 * restart together or are cut off: few are registered then, yet all go on sending, so each must not take a larger part.
 */

/** Time for which an entry instance counts after it was last registered, in milliseconds; longer than a cut. */
const rememberedMilliseconds = 60_000;

export class EntryShares {
    private readonly seenAt = new Map<string, number>();
    private settled = false;

    private constructor(private readonly name: string) {}

    /** `name` is this entry instance's own. */
    public static create(name: string): EntryShares {
        return new EntryShares(name);
    }

    /** Takes the names that are registered at local monotonic time `now`. */
    public noteRegistered(names: readonly string[], now: number): void {
        const isNew = names.some(name => !this.seenAt.has(name));
        const isFirst = this.seenAt.size === 0;
        names.forEach(name => this.seenAt.set(name, now));
        const old = [...this.seenAt].filter(([, at]) => now - at > rememberedMilliseconds);
        old.forEach(([name]) => this.seenAt.delete(name));
        this.settled ||= !isFirst && !isNew;
    }

    /** True once a second look has shown nobody new: those that started together have registered. */
    public get isSettled(): boolean {
        return this.settled;
    }

    /** Entry instances that share, this one included. */
    public get count(): number {
        return this.seenAt.size + (this.seenAt.has(this.name) ? 0 : 1);
    }
}
