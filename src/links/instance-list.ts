/**
 * The platform's list of instances, kept current by a snapshot and a watch. The list lags behind the instances, so it is
 * only one input to membership.
 */
import { Observable } from "rxjs";
import type { Subscriber, Subscription } from "rxjs";
import * as z from "zod";
import type { Clock } from "../contracts/clocks.js";
import type { KeyValueEntry, KeyValueStore, WatchEvent } from "../contracts/key-value-stores.js";
import type { Fault } from "../core/errors.js";
import type { Instance } from "../core/instances.js";

/** Prefix of the instance list's keys. */
export const instancePrefix = "platform/instances/";

const snapshotTimeoutMilliseconds = 2000;
const retryDelayMilliseconds = 500;

const instanceSchema = z.object({
    id: z.string().min(1),
    address: z.string().min(1),
    failureDomain: z.string().min(1),
    fabricDomain: z.string().min(1),
    role: z.enum(["entry", "engine", "service"]),
    service: z.string().optional(),
    state: z.enum(["live", "leaving"]),
});

/** Options of the instance list. */
export interface InstanceListOptions {
    readonly store: KeyValueStore;
    readonly clock: Clock;
    /** Called when the list cannot be read; the last known instances are kept. */
    readonly onFault?: (fault: Fault) => void;
}

/** Parses one entry of the list; returns undefined if the entry is invalid. */
export function parseInstance(value: string): Instance | undefined {
    try {
        return instanceSchema.safeParse(JSON.parse(value)).data;
    } catch {
        return undefined;
    }
}

/** Emits the whole list of instances, in order of their ids, after each change. */
export function followInstances(options: InstanceListOptions): Observable<readonly Instance[]> {
    return new Observable(subscriber => {
        const follower = new InstanceFollower(options, subscriber);
        follower.readSnapshot();
        return () => follower.close();
    });
}

class InstanceFollower {
    private readonly options: InstanceListOptions;
    private readonly subscriber: Subscriber<readonly Instance[]>;
    private knownInstances = new Map<string, Instance>();
    private revision = 0;
    private watch: Subscription | undefined;
    private timer: NodeJS.Timeout | undefined;
    private closed = false;

    public constructor(options: InstanceListOptions, subscriber: Subscriber<readonly Instance[]>) {
        this.options = options;
        this.subscriber = subscriber;
    }

    public readSnapshot(): void {
        const { store, clock } = this.options;
        const deadline = clock.monotonicMilliseconds() + snapshotTimeoutMilliseconds;
        void store.list(instancePrefix, { deadline, priority: "other" }).then(result => {
            if (this.closed) {
                return;
            }
            if (!result.success) {
                this.retry(result.fault);
                return;
            }
            this.applySnapshot(result.data.revision, result.data.entries);
        });
    }

    public close(): void {
        this.closed = true;
        clearTimeout(this.timer);
        this.watch?.unsubscribe();
    }

    /** Ignores the entries of a snapshot with an older revision than the known one: it comes from a stale read. */
    private applySnapshot(revision: number, entries: readonly KeyValueEntry[]): void {
        if (revision >= this.revision) {
            this.knownInstances = new Map();
            this.revision = revision;
            entries.forEach(entry => this.putEntry(entry));
            this.emit();
        }
        this.watch = this.options.store
            .watch(instancePrefix, { revision: this.revision + 1 })
            .subscribe(event => this.applyEvent(event));
    }

    private applyEvent(event: WatchEvent): void {
        switch (event.kind) {
            case "changes":
                event.puts.forEach(entry => this.putEntry(entry));
                event.deletes.forEach(key => this.knownInstances.delete(key));
                this.revision = Math.max(this.revision, event.revision);
                this.emit();
                break;
            case "progress":
                this.revision = Math.max(this.revision, event.revision);
                break;
            case "gap":
                this.retry(event.fault);
                break;
        }
    }

    private putEntry(entry: KeyValueEntry): void {
        const instance = parseInstance(entry.value);
        if (instance !== undefined) {
            this.knownInstances.set(entry.key, instance);
        }
    }

    private retry(fault: Fault): void {
        this.options.onFault?.(fault);
        clearTimeout(this.timer);
        this.timer = setTimeout(() => this.readSnapshot(), retryDelayMilliseconds);
    }

    private emit(): void {
        const instances = [...this.knownInstances.values()];
        instances.sort((left, right) => (left.id < right.id ? -1 : 1));
        this.subscriber.next(instances);
    }
}
