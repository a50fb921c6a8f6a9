/**
 * Number of entry instances that share an allowance. Covers entry instances that restart together or are cut off by a
 * network partition: few are registered then, but all continue to send requests, so none may take a larger share.
 */

/**
 * Time for which an entry instance counts after it was last registered, in milliseconds; longer than a network
 * partition lasts.
 */
const registrationRetentionMilliseconds = 60_000;

export class EntryShares {
    private readonly lastRegisteredAt = new Map<string, number>();
    private hasSettled = false;

    private constructor(private readonly name: string) {}

    /** `name`: name of this entry instance. */
    public static create(name: string): EntryShares {
        return new EntryShares(name);
    }

    /** Records the names that are registered at `now` (local monotonic milliseconds). */
    public recordRegistered(names: readonly string[], now: number): void {
        const isNew = names.some(name => !this.lastRegisteredAt.has(name));
        const isFirst = this.lastRegisteredAt.size === 0;
        names.forEach(name => this.lastRegisteredAt.set(name, now));
        const expired = [...this.lastRegisteredAt].filter(
            ([, at]) => now - at > registrationRetentionMilliseconds,
        );
        expired.forEach(([name]) => this.lastRegisteredAt.delete(name));
        this.hasSettled ||= !isFirst && !isNew;
    }

    /** True once a later `recordRegistered` adds no name: entry instances that started together have registered. */
    public get isSettled(): boolean {
        return this.hasSettled;
    }

    /** Number of entry instances that share, including this one. */
    public get count(): number {
        return this.lastRegisteredAt.size + (this.lastRegisteredAt.has(this.name) ? 0 : 1);
    }
}
