/** Counts the platform's calls by path and by client process; a waiting watch counts as one call per second. */

/** Call counts of one client process. */
interface ProcessCounts {
    readonly calls: Record<string, number>;
    watchSeconds: number;
    watching: number;
}

/** Call counts since the start of the platform. */
export class CallCounts {
    private readonly processes = new Map<string, ProcessCounts>();
    private writes = 0;

    private constructor() {}

    public static create(): CallCounts {
        return new CallCounts();
    }

    public count(client: string, path: string): void {
        const { calls } = this.countsOf(client);
        calls[path] = (calls[path] ?? 0) + 1;
    }

    /** Counts a compare-and-swap that took effect. */
    public countWrite(): void {
        this.writes += 1;
    }

    public changeWatching(client: string, difference: number): void {
        this.countsOf(client).watching += difference;
    }

    /** Adds one second to the count of each waiting watch. */
    public countWatchSecond(): void {
        this.processes.forEach(counts => {
            counts.watchSeconds += counts.watching;
        });
    }

    /** Returns the names of the processes that have made calls. */
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

    private countsOf(client: string): ProcessCounts {
        const known = this.processes.get(client) ?? { calls: {}, watchSeconds: 0, watching: 0 };
        this.processes.set(client, known);
        return known;
    }
}
