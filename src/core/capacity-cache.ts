/** Short-lived cache of model capacities, adjusted at each dispatch and end of a request. */

/** Time for which a capacity is cached, in milliseconds. */
const capacityCacheMilliseconds = 20;

interface CachedCapacity {
    capacity: number;
    readonly expiresAt: number;
}

/** Caches capacities by model and by whether the caller exceeds its fair share. */
export class CapacityCache {
    private readonly capacities = new Map<string, CachedCapacity>();

    private constructor() {}

    public static create(): CapacityCache {
        return new CapacityCache();
    }

    public clear(): void {
        this.capacities.clear();
    }

    /** Returns the cached capacity, or computes it by `count` and caches it. */
    public get(model: string, borrowed: boolean, now: number, count: () => number): number {
        const key = `${model}/${borrowed}`;
        const cached = this.capacities.get(key);
        if (cached !== undefined && now < cached.expiresAt) {
            return cached.capacity;
        }
        const computed = count();
        this.capacities.set(key, { capacity: computed, expiresAt: now + capacityCacheMilliseconds });
        return computed;
    }

    /** Adjusts the cached capacities after a dispatch (-1) or the end of a request (1). */
    public change(model: string, change: 1 | -1): void {
        for (const borrowed of [false, true]) {
            const cached = this.capacities.get(`${model}/${borrowed}`);
            if (cached !== undefined) {
                cached.capacity += change;
            }
        }
    }
}
