/** Follows which failure domains operators have evacuated, from the store's keys and the datagrams of other entry instances. */
import type { KeyValueEntry, StorePosition } from "../../contracts/key-value-stores.js";
import type { Clock } from "../../contracts/clocks.js";
import type { PartLogger } from "../../links/logs.js";
import type { EvacuationStatement } from "../../serving/availability/evacuations.js";
import { Evacuations } from "../../serving/availability/evacuations.js";
import { haveSameItems } from "../../serving/collections.js";

/** One key with which operators evacuate a failure domain. */
export interface EvacuationEntry {
    readonly failureDomain: string;
    /** False if the value is none that operators write; the evacuation holds all the same. */
    readonly isReadable: boolean;
}

export interface EvacuatedDomainsOptions {
    readonly clock: Clock;
    /** All failure domains of the settings. */
    readonly failureDomains: readonly string[];
    readonly parseEntry: (key: string, text: string) => EvacuationEntry;
    /** Time after which a write to the store is known here, in milliseconds. */
    readonly readDelayMilliseconds: () => number;
    /** Called when other failure domains are evacuated than before, before any further request is sent. */
    readonly onChange: () => void;
    readonly log: PartLogger;
}

export class EvacuatedDomains {
    private readonly evacuations: Evacuations;
    private inForce: ReadonlySet<string> = new Set();
    private readonly reportedUnreadable = new Set<string>();

    private constructor(private readonly options: EvacuatedDomainsOptions) {
        this.evacuations = Evacuations.create(options.readDelayMilliseconds);
    }

    public static create(options: EvacuatedDomainsOptions): EvacuatedDomains {
        return new EvacuatedDomains(options);
    }

    /** Failure domains to whose replicas nothing more is sent. */
    public get all(): ReadonlySet<string> {
        return this.inForce;
    }

    /** What this process knows, for the other entry instances; undefined if it has not known of any evacuation. */
    public get announcement(): EvacuationStatement | undefined {
        return this.evacuations.announcement;
    }

    /** Applies all entries of the store at a position. */
    public applyEntries(position: StorePosition, entries: readonly KeyValueEntry[]): void {
        const parsed = entries.map(({ key, value }) => this.options.parseEntry(key, value));
        parsed.filter(({ isReadable }) => !isReadable).forEach(each => this.reportUnreadable(each));
        const failureDomains = parsed.map(({ failureDomain }) => failureDomain);
        const { era = 0, revision } = position;
        this.record({ era, revision, failureDomains }, "the store");
    }

    public recordFromPeer(from: string, statement: EvacuationStatement | undefined): void {
        if (statement !== undefined) {
            this.record(statement, from);
        }
    }

    /** Ends evacuations that a restored store still lacks. */
    public tick(): void {
        this.update("the store");
    }

    private record(statement: EvacuationStatement, source: string): void {
        this.evacuations.record(statement, this.options.clock.monotonicMilliseconds());
        this.update(source);
    }

    private update(source: string): void {
        const before = this.inForce;
        const current = this.evacuations.current(this.options.clock.monotonicMilliseconds());
        if (haveSameItems(before, current)) {
            return;
        }
        const { failureDomains, log, onChange } = this.options;
        this.inForce = current;
        log.warn("the evacuated failure domains have changed", {
            evacuated: [...current],
            before: [...before],
            source,
        });
        const unknown = [...current].filter(name => !failureDomains.includes(name));
        if (unknown.length > 0) {
            log.warn("failure domains are evacuated that the settings do not name", { unknown });
        }
        if (failureDomains.every(name => current.has(name))) {
            log.warn("all failure domains are evacuated; requests are refused", { evacuated: [...current] });
        }
        onChange();
    }

    private reportUnreadable({ failureDomain }: EvacuationEntry): void {
        if (!this.reportedUnreadable.has(failureDomain)) {
            this.reportedUnreadable.add(failureDomain);
            this.options.log.warn("the value of an evacuation cannot be parsed; the evacuation holds", {
                failureDomain,
            });
        }
    }
}
