/** Simulates the key-value service for configuration: reads, watches and faults. */
import type { ReadResponse, WatchEvent } from "../src/contracts/key-value-stores.js";
import type { Fault, Result } from "../src/core/errors.js";
import { fail, succeed } from "../src/core/errors.js";
import type { VirtualLoop } from "./virtual-loop.js";

/** One accepted change. */
export interface AcceptedChange {
    readonly revision: number;
    readonly path: string;
    /** Undefined if the path was deleted. */
    readonly text: string | undefined;
    readonly acceptedAt: number;
}

interface OpenWatch {
    readonly deliver: (event: WatchEvent) => void;
    isSilent: boolean;
}

const unavailable: Fault = { code: "storeUnavailable", message: "no response", step: "store", notRun: false };
/** Interval of progress notifications, in milliseconds. */
const progressIntervalMilliseconds = 1_000;

/** The key-value service of a simulation. */
export class VirtualStore {
    public readonly changes: AcceptedChange[] = [];
    public isDown = false;
    /** Share of reads that show an older state, and of reads whose response is lost. */
    public oldReadRate = 0;
    public lostResponseRate = 0;
    public reads = 0;
    public watchSeconds = 0;
    public conflicts = 0;
    private revision = 1;
    private readonly watches = new Set<OpenWatch>();

    private constructor(
        private readonly loop: VirtualLoop,
        private readonly random: () => number,
    ) {
        loop.every(progressIntervalMilliseconds, () => this.notifyProgress());
    }

    public static create(loop: VirtualLoop, random: () => number): VirtualStore {
        return new VirtualStore(loop, random);
    }

    public get latest(): number {
        return this.revision;
    }

    /** Returns the revision of a path's last change; 0 if the path is absent. */
    public revisionOf(path: string): number {
        return this.stateAt(this.revision).get(path)?.revision ?? 0;
    }

    /** Changes a path if its last change is as expected; returns the new revision. */
    public swap(path: string, text: string | undefined, expected: number): number | undefined {
        if (this.isDown || this.revisionOf(path) !== expected || (text === undefined && expected === 0)) {
            this.conflicts += 1;
            return undefined;
        }
        this.revision += 1;
        const { revision } = this;
        this.changes.push({ revision, path, text, acceptedAt: this.loop.now() });
        const puts =
            text === undefined ? [] : [{ key: path, value: text, ...this.revisionsOf(path, revision) }];
        const deletes = text === undefined ? [path] : [];
        this.notifyWatches({ kind: "changes", revision, puts, deletes });
        return revision;
    }

    /** Raises the store's revision, as changes of other keys do. */
    public touch(): void {
        this.revision += 1;
    }

    public read(respond: (result: Result<ReadResponse>) => void): void {
        this.reads += 1;
        const isLost = this.isDown || this.random() < this.lostResponseRate;
        const isOld = this.random() < this.oldReadRate;
        const revision = isOld ? 1 + Math.floor(this.random() * this.revision) : this.revision;
        const entries = [...this.stateAt(revision)].flatMap(([key, change]) =>
            change.text === undefined
                ? []
                : { key, value: change.text, ...this.revisionsOf(key, change.revision) },
        );
        const result = isLost ? fail<ReadResponse>(unavailable) : succeed({ revision, entries });
        this.loop.after(isLost ? 500 : 1 + this.random() * 20, () => respond(result));
    }

    /** Opens a watch; 0 begins at the present. Returns a function that closes it. */
    public watch(fromRevision: number, deliver: (event: WatchEvent) => void): () => void {
        const watch: OpenWatch = { deliver, isSilent: false };
        this.watches.add(watch);
        if (this.isDown) {
            this.loop.after(1, () => this.end(watch));
        }
        const start = fromRevision === 0 ? this.revision + 1 : fromRevision;
        for (const { revision, path, text } of this.changes.filter(change => change.revision >= start)) {
            const puts =
                text === undefined ? [] : [{ key: path, value: text, ...this.revisionsOf(path, revision) }];
            const deletes = text === undefined ? [path] : [];
            this.send(watch, { kind: "changes", revision, puts, deletes });
        }
        return () => this.watches.delete(watch);
    }

    /** Breaks every watch. */
    public breakWatches(): void {
        [...this.watches].forEach(watch => this.end(watch));
    }

    /** Silences every open watch without an error. */
    public silenceWatches(): void {
        this.watches.forEach(watch => {
            watch.isSilent = true;
        });
    }

    /** Returns the last change of each path up to a revision, deletions included. */
    public stateAt(revision: number): ReadonlyMap<string, AcceptedChange> {
        const last = this.changes.filter(change => change.revision <= revision);
        return new Map(last.map(change => [change.path, change]));
    }

    private revisionsOf(path: string, modRevision: number) {
        const earlier = this.changes.filter(change => change.path === path && change.revision <= modRevision);
        const deleted = earlier.findLastIndex(change => change.text === undefined);
        return { modRevision, createRevision: earlier[deleted + 1]?.revision ?? modRevision };
    }

    private notifyProgress(): void {
        this.watchSeconds += this.watches.size;
        if (!this.isDown) {
            this.notifyWatches({ kind: "progress", revision: this.revision });
        }
    }

    private notifyWatches(event: WatchEvent): void {
        this.watches.forEach(watch => this.send(watch, event));
    }

    private send(watch: OpenWatch, event: WatchEvent): void {
        // Equal delays keep the order of a stream.
        this.loop.after(5, () => {
            if (this.watches.has(watch) && !watch.isSilent) {
                watch.deliver(event);
            }
        });
    }

    private end(watch: OpenWatch): void {
        if (this.watches.delete(watch)) {
            watch.deliver({ kind: "gap", fault: unavailable });
        }
    }
}
