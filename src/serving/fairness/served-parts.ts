/** Part of the recent requests of a kind, a size or a session that was served, so that none of them starves. */

/** Time constant with which earlier requests are forgotten, in milliseconds. */
const decayMilliseconds = 15_000;
/** Recent requests below which nothing is concluded. */
const minimumRequests = 3;
/** Maximum number of keys; the ones that were used least recently are forgotten first. */
const maximumKeys = 2_000;

interface Counts {
    arrived: number;
    served: number;
    updatedAt: number;
}

export class ServedParts {
    /** In order of last use, oldest first. */
    private readonly counts = new Map<string, Counts>();

    private constructor() {}

    public static create(): ServedParts {
        return new ServedParts();
    }

    public recordArrival(key: string, now: number): void {
        this.touch(key, now).arrived += 1;
    }

    public recordServed(key: string, now: number): void {
        this.touch(key, now).served += 1;
    }

    /** Returns the served part of a key's recent requests; undefined if there are too few. */
    public partOf(key: string, now: number): number | undefined {
        const counts = this.counts.get(key);
        const factor = counts === undefined ? 0 : Math.exp((counts.updatedAt - now) / decayMilliseconds);
        return counts === undefined || counts.arrived * factor < minimumRequests
            ? undefined
            : counts.served / counts.arrived;
    }

    private touch(key: string, now: number): Counts {
        const known = this.counts.get(key) ?? { arrived: 0, served: 0, updatedAt: now };
        const factor = Math.exp((known.updatedAt - now) / decayMilliseconds);
        known.arrived *= factor;
        known.served *= factor;
        known.updatedAt = now;
        this.counts.delete(key);
        this.counts.set(key, known);
        if (this.counts.size > maximumKeys) {
            const oldest = this.counts.keys().next().value!;
            this.counts.delete(oldest);
        }
        return known;
    }
}
