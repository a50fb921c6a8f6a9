/** Short-lived cache of model capacities, adjusted at each dispatch and end of a request. */

/** Time for which a capacity is cached, in milliseconds. */
const capacityMilliseconds = 20;

interface KeptCapacity {
    room: number;
    readonly until: number;
}

/** Caches capacities by model and by whether the caller exceeds its fair share. */
export class KeptCapacities {
    private readonly capacities = new Map<string, KeptCapacity>();

    private constructor() {}

    public static create(): KeptCapacities {
        return new KeptCapacities();
    }

    public clear(): void {
        this.capacities.clear();
    }

    /** Returns the cached capacity, or computes it by `count` and caches it. */
    public get(model: string, borrowed: boolean, now: number, count: () => number): number {
        const key = `${model}/${borrowed}`;
        const cached = this.capacities.get(key);
        if (cached !== undefined && now < cached.until) {
            return cached.room;
        }
        const room = count();
        this.capacities.set(key, { room, until: now + capacityMilliseconds });
        return room;
    }

    /** Adjusts the cached capacities after a dispatch (-1) or the end of a request (1). */
    public change(model: string, change: 1 | -1): void {
        for (const borrowed of [false, true]) {
            const cached = this.capacities.get(`${model}/${borrowed}`);
            if (cached !== undefined) {
                cached.room += change;
            }
        }
    }
}
