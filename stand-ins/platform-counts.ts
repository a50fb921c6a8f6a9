/** Calls that the platform has taken, by call and by process; a waiting watch counts as one call a second. */

/** Counts of one client process. */
interface ProcessCounts {
    readonly calls: Record<string, number>;
    watchSeconds: number;
    watching: number;
}

/** All counts since the start. */
export class CallCounts {
    private readonly processes = new Map<string, ProcessCounts>();
    private writes = 0;

    private constructor() {}

    public static create(): CallCounts {
        return new CallCounts();
    }

    public count(client: string, path: string): void {
        const { calls } = this.of(client);
        calls[path] = (calls[path] ?? 0) + 1;
    }

    /** Counts a compare-and-swap that took effect. */
    public countWrite(): void {
        this.writes += 1;
    }

    public changeWatching(client: string, difference: number): void {
        this.of(client).watching += difference;
    }

    /** Counts the watches that waited through the last second. */
    public countWatchSecond(): void {
        this.processes.forEach(counts => {
            counts.watchSeconds += counts.watching;
        });
    }

    /** Names of the processes that have called. */
    public clients(): readonly string[] {
        return [...this.processes.keys()];
    }

    public report(): unknown {
        const all = [...this.processes.values()];
        const calls: Record<string, number> = {};
        for (const counts of all) {
            for (const [path, count] of Object.entries(counts.calls)) {
                calls[path] = (calls[path] ?? 0) + count;
            }
        }
        const watchSeconds = all.reduce((sum, counts) => sum + counts.watchSeconds, 0);
        const made = Object.values(calls).reduce((sum, count) => sum + count, 0);
        return {
            total: made + watchSeconds,
            writes: this.writes,
            calls,
            watchSeconds,
            watching: all.reduce((sum, counts) => sum + counts.watching, 0),
            processes: Object.fromEntries(this.processes),
        };
    }

    private of(client: string): ProcessCounts {
        const known = this.processes.get(client) ?? { calls: {}, watchSeconds: 0, watching: 0 };
        this.processes.set(client, known);
        return known;
    }
}
