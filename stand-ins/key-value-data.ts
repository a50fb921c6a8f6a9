/** Data of the key-value service: entries with revisions, leases, and a compactable history of changes. */

/** A stored key with its value and revisions. */
export interface StoredEntry {
    readonly key: string;
    readonly value: string;
    readonly createRevision: number;
    readonly modRevision: number;
    readonly version: number;
    readonly lease?: string;
}

/** One change; `entry` is undefined for a delete. */
export interface StoredChange {
    readonly key: string;
    readonly revision: number;
    readonly entry: StoredEntry | undefined;
}

/** A lease; `deadline` is its expiry in local monotonic milliseconds. */
export interface StoredLease {
    readonly id: string;
    readonly seconds: number;
    readonly deadline: number;
}

const maximumHistory = 20_000;
const millisecondsPerSecond = 1000;

/** In-memory key-value store; every change increments the revision. */
export class KeyValueData {
    private readonly entries = new Map<string, StoredEntry>();
    private readonly leases = new Map<string, StoredLease>();
    private readonly listeners = new Set<(change: StoredChange) => void>();
    private history: StoredChange[] = [];
    private latestRevision = 1;
    private compactedRevision = 0;
    private leaseCount = 0;

    private constructor() {}

    public static create(): KeyValueData {
        return new KeyValueData();
    }

    public revision(): number {
        return this.latestRevision;
    }

    /** Returns the revision up to which changes have been removed from the history. */
    public compactRevision(): number {
        return this.compactedRevision;
    }

    public get(key: string): StoredEntry | undefined {
        return this.entries.get(key);
    }

    /** Returns entries from `key` to before `end`, or just `key` without `end`; "\0" as the end has no upper bound. */
    public range(key: string, end: string | undefined): readonly StoredEntry[] {
        return entriesInRange(this.entries, key, end);
    }

    /** Returns a copy, from which stale reads can be served later. */
    public snapshot(): { readonly revision: number; readonly entries: ReadonlyMap<string, StoredEntry> } {
        return { revision: this.latestRevision, entries: new Map(this.entries) };
    }

    public put(key: string, value: string, lease?: string): StoredEntry {
        const known = this.entries.get(key);
        this.latestRevision += 1;
        const entry: StoredEntry = {
            key,
            value,
            createRevision: known?.createRevision ?? this.latestRevision,
            modRevision: this.latestRevision,
            version: (known?.version ?? 0) + 1,
            lease,
        };
        this.entries.set(key, entry);
        this.appendChange({ key, revision: this.latestRevision, entry });
        return entry;
    }

    public delete(key: string): boolean {
        if (!this.entries.delete(key)) {
            return false;
        }
        this.latestRevision += 1;
        this.appendChange({ key, revision: this.latestRevision, entry: undefined });
        return true;
    }

    public grant(seconds: number, now: number): StoredLease {
        this.leaseCount += 1;
        const id = String(7_000_000 + this.leaseCount);
        const lease = { id, seconds, deadline: now + seconds * millisecondsPerSecond };
        this.leases.set(id, lease);
        return lease;
    }

    public hasLease(id: string): boolean {
        return this.leases.has(id);
    }

    /** Renews a lease; returns undefined if it has expired. */
    public renew(id: string, now: number): StoredLease | undefined {
        const known = this.leases.get(id);
        if (known === undefined) {
            return undefined;
        }
        const lease = { ...known, deadline: now + known.seconds * millisecondsPerSecond };
        this.leases.set(id, lease);
        return lease;
    }

    /** Ends a lease and deletes its keys. */
    public revoke(id: string): boolean {
        if (!this.leases.delete(id)) {
            return false;
        }
        const keys = [...this.entries.values()].filter(entry => entry.lease === id).map(entry => entry.key);
        keys.forEach(key => this.delete(key));
        return true;
    }

    /** Revokes every lease whose deadline has passed. */
    public expireLeases(now: number): void {
        [...this.leases.values()]
            .filter(lease => lease.deadline <= now)
            .forEach(lease => this.revoke(lease.id));
    }

    public compact(): void {
        this.history = [];
        this.compactedRevision = this.latestRevision;
    }

    /** Returns the changes since `revision`, inclusive; undefined if some of them have been compacted. */
    public changesFrom(revision: number): readonly StoredChange[] | undefined {
        if (revision <= this.compactedRevision && this.compactedRevision > 0) {
            return undefined;
        }
        return this.history.filter(change => change.revision >= revision);
    }

    /** Calls `listener` for each later change; returns a function that unsubscribes it. */
    public subscribe(listener: (change: StoredChange) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private appendChange(change: StoredChange): void {
        this.history.push(change);
        if (this.history.length > maximumHistory) {
            const dropped = this.history.splice(0, this.history.length - maximumHistory / 2);
            this.compactedRevision = dropped[dropped.length - 1]?.revision ?? this.compactedRevision;
        }
        this.listeners.forEach(listener => listener(change));
    }
}

/** Returns true if `key` lies in the range. */
export function isInRange(key: string, start: string, end: string | undefined): boolean {
    if (end === undefined || end === "") {
        return key === start;
    }
    return key >= start && (end === "\0" || key < end);
}

export function entriesInRange(
    entries: ReadonlyMap<string, StoredEntry>,
    key: string,
    end: string | undefined,
): readonly StoredEntry[] {
    const found = [...entries.values()].filter(entry => isInRange(entry.key, key, end));
    return found.sort((left, right) => (left.key < right.key ? -1 : 1));
}
