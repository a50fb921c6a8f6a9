/**
 * Follows the registrations of instances. A registration that expires while the store is unavailable is not evidence of
 * a loss: it counts as removed only if it is still missing some time after the store is available again.
 */
import type { KeyValueEntry, ReadResponse, WatchEvent } from "../contracts/key-value-stores.js";
import type { Fleet, FleetInstance } from "./fleets.js";
import { emptyFleet } from "./fleets.js";

/** Time after the last store fault in which a missing registration does not yet count as removed, in milliseconds. */
export const storeRecoveryMilliseconds = 2_300;

/** Time for which an instance is kept after its registration ended, in milliseconds. */
const expiredRetentionMilliseconds = 20_000;

/** Parses the registration under a key; returns undefined if the value describes no instance. */
export type ParseRegistration = (key: string, text: string) => FleetInstance | undefined;

/** Result of applying a change of registrations. */
export interface FleetChange {
    /** Keys whose values could not be parsed. */
    readonly unreadable: readonly string[];
}

export class FleetFollower {
    private fleet: Fleet = emptyFleet;
    /** Instances by the key of their registration. */
    private readonly byKey = new Map<string, FleetInstance>();
    /** Missing keys, with the time at which they count as removed. */
    private readonly missing = new Map<string, number>();
    private readonly expired = new Map<
        string,
        { readonly instance: FleetInstance; readonly until: number }
    >();
    private settledAt = 0;
    private hasRead = false;
    /** Era of the last read. */
    private era: number | undefined;

    private constructor(private readonly parse: ParseRegistration) {}

    public static create(parse: ParseRegistration): FleetFollower {
        return new FleetFollower(parse);
    }

    public get current(): Fleet {
        return this.fleet;
    }

    public get isKnown(): boolean {
        return this.hasRead;
    }

    /** Records that the store could not be read or watched at `at`, here or at an entry instance that relays it. */
    public recordFault(at: number): void {
        this.settledAt = Math.max(this.settledAt, at + storeRecoveryMilliseconds);
    }

    public applyRead(answer: ReadResponse, now: number): FleetChange {
        const isRestored = this.hasRead && answer.era !== this.era;
        this.hasRead = true;
        this.era = answer.era;
        if (isRestored) {
            this.recordFault(now);
        }
        const present = new Set(answer.entries.map(entry => entry.key));
        const absent = [...this.byKey.keys()].filter(key => !present.has(key));
        absent.forEach(key => this.remove(key, now));
        const entries = isRestored ? answer.entries.filter(entry => !this.isOutdated(entry)) : answer.entries;
        return this.put(entries, answer.revision, now);
    }

    /** True if an entry of a restored store describes a start of an instance no later than what is known of it. */
    private isOutdated(entry: KeyValueEntry): boolean {
        const instance = this.parse(entry.key, entry.value);
        const known = instance && this.knownInstance(entry.key, instance.id);
        if (instance === undefined || known === undefined || !isSameStart(known, instance)) {
            return false;
        }
        // An instance that was gone before the restore is back only if a newer entry shows it.
        return instance.heartbeat <= known.heartbeat;
    }

    private knownInstance(key: string, id: string): FleetInstance | undefined {
        return this.byKey.get(key) ?? this.expired.get(id)?.instance;
    }

    public applyWatch(event: WatchEvent, now: number): FleetChange {
        if (event.kind !== "changes") {
            this.dropMissing(now);
            return { unreadable: [] };
        }
        event.deletes.forEach(key => this.remove(key, now));
        this.dropMissing(now);
        return this.put(event.puts, event.revision, now);
    }

    private put(entries: readonly KeyValueEntry[], revision: number, now: number): FleetChange {
        const unreadable: string[] = [];
        for (const entry of entries) {
            const instance = this.parse(entry.key, entry.value);
            this.missing.delete(entry.key);
            if (instance === undefined) {
                unreadable.push(entry.key);
                this.forget(entry.key, now);
            } else {
                this.byKey.set(entry.key, this.keepLeaving(entry.key, instance));
            }
        }
        this.publish(revision, now);
        return { unreadable };
    }

    /** An instance that announced its leaving stays leaving until it starts again, whatever a restored store says. */
    private keepLeaving(key: string, instance: FleetInstance): FleetInstance {
        const known = this.knownInstance(key, instance.id);
        const isLeaving = known?.isLeaving === true && isSameStart(known, instance);
        return isLeaving && !instance.isLeaving ? { ...instance, isLeaving } : instance;
    }

    private remove(key: string, now: number): void {
        if (!this.byKey.has(key)) {
            return;
        }
        if (now >= this.settledAt) {
            this.forget(key, now);
        } else if (!this.missing.has(key)) {
            this.missing.set(key, this.settledAt);
        }
    }

    private dropMissing(now: number): void {
        const removed = [...this.missing].filter(([, removedAt]) => now >= removedAt).map(([key]) => key);
        if (removed.length > 0 && now >= this.settledAt) {
            removed.forEach(key => this.forget(key, now));
            removed.forEach(key => this.missing.delete(key));
            this.publish(this.fleet.revision, now);
        }
    }

    private forget(key: string, now: number): void {
        const instance = this.byKey.get(key);
        if (instance !== undefined) {
            this.byKey.delete(key);
            this.expired.set(instance.id, { instance, until: now + expiredRetentionMilliseconds });
        }
    }

    private publish(revision: number, now: number): void {
        const instances = new Map([...this.byKey.values()].map(instance => [instance.id, instance]));
        for (const [id, { until }] of this.expired) {
            if (now >= until || instances.has(id)) {
                this.expired.delete(id);
            }
        }
        this.fleet = { revision, instances, expired: [...this.expired.values()].map(each => each.instance) };
    }
}

function isSameStart(known: FleetInstance, instance: FleetInstance): boolean {
    const { incarnation } = known.status;
    return incarnation !== undefined && incarnation === instance.status.incarnation;
}
