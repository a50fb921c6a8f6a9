/** Capacities of models, kept for a short time and counted on at each send and end. */

/** Time in milliseconds for which a capacity is kept. */
const capacityMilliseconds = 20;

interface KeptCapacity {
    room: number;
    readonly until: number;
}

/** Capacities by model and by whether the caller borrows. */
export class KeptCapacities {
    private readonly capacities = new Map<string, KeptCapacity>();

    private constructor() {}

    public static create(): KeptCapacities {
        return new KeptCapacities();
    }

    public clear(): void {
        this.capacities.clear();
    }

    /** Returns the kept capacity, or counts it and keeps it. */
    public get(model: string, borrowed: boolean, now: number, count: () => number): number {
        const key = `${model}/${borrowed}`;
        const kept = this.capacities.get(key);
        if (kept !== undefined && now < kept.until) {
            return kept.room;
        }
        const room = count();
        this.capacities.set(key, { room, until: now + capacityMilliseconds });
        return room;
    }

    /** Notes that a request was sent (-1) or has ended (1). */
    public change(model: string, change: 1 | -1): void {
        for (const borrowed of [false, true]) {
            const kept = this.capacities.get(`${model}/${borrowed}`);
            if (kept !== undefined) {
                kept.room += change;
            }
        }
    }
}
