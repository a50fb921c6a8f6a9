/**
 * Instances that state in their responses that they leave. Their registrations say so later, or not at all while the store
 * is unavailable, and requests that are sent meanwhile may be cut off when the instance ends.
 */
import type { Fleet, FleetInstance } from "./fleets.js";

/** One start of an instance that leaves. */
export interface LeavingInstance {
    readonly id: string;
    /** Undefined if the instance has not stated its start; then any start counts. */
    readonly incarnation: number | undefined;
}

export class LeavingInstances {
    private readonly byId = new Map<string, LeavingInstance>();

    private constructor() {}

    public static create(): LeavingInstances {
        return new LeavingInstances();
    }

    /** All leaving instances, for the other entry instances. */
    public get all(): readonly LeavingInstance[] {
        return [...this.byId.values()];
    }

    public has({ id, incarnation }: LeavingInstance): boolean {
        const known = this.byId.get(id);
        return known !== undefined && known.incarnation === incarnation;
    }

    /** Records that an instance leaves; returns false if that was known. */
    public record(leaving: LeavingInstance): boolean {
        if (this.has(leaving)) {
            return false;
        }
        this.byId.set(leaving.id, leaving);
        return true;
    }

    /** Returns the fleet with its leaving instances marked, and forgets those that ended or started again. */
    public apply(fleet: Fleet): Fleet {
        if (this.byId.size === 0) {
            return fleet;
        }
        const expired = new Map(fleet.expired.map(instance => [instance.id, instance]));
        for (const [id, { incarnation }] of this.byId) {
            const instance = fleet.instances.get(id) ?? expired.get(id);
            if (instance === undefined || instance.status.incarnation !== incarnation) {
                this.byId.delete(id);
            }
        }
        const mark = (instance: FleetInstance): FleetInstance =>
            this.byId.has(instance.id) && !instance.isLeaving ? { ...instance, isLeaving: true } : instance;
        return {
            ...fleet,
            instances: new Map([...fleet.instances].map(([id, instance]) => [id, mark(instance)])),
            expired: fleet.expired.map(mark),
        };
    }
}
