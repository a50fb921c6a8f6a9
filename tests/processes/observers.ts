/** Observers of a run: they poll the placements in the store and the configuration in force at each entry instance. */
import { authorize, errorOf, makeCall } from "../../scripts/demo-calls.js";
import { demoCredentials, demoModel } from "../../scripts/demo-layout.js";
import type { KeyValueStore } from "../../src/contracts/key-value-stores.js";
import { placementPrefix, safeParseFabricPlacement } from "../../src/core/fabric-placement.js";
import { systemClock } from "../../src/links/system-clock.js";
import { sleep } from "./callers.js";

const pollIntervalMilliseconds = 200;
const callTimeoutMilliseconds = 1500;
/** Maximum time until an accepted configuration is in force everywhere, which stands for "within seconds". */
const maximumPropagationMilliseconds = 13_000;
/** Path of the value that the operator raises; demo credentials exist for subscribers of this team. */
const limitsPath = "config/teams/izmir/limits";
/** Larger than any limit, so that the rejection names the limit in force. */
const excessiveTokens = 900_000;

function deadline(): number {
    return systemClock.monotonicMilliseconds() + callTimeoutMilliseconds;
}

/** A polling loop that runs until it is stopped. */
export interface Observation {
    readonly stop: () => Promise<void>;
}

function observe(step: () => Promise<void>): Observation {
    let isOver = false;
    const loop = (async () => {
        while (!isOver) {
            await step();
            await sleep(pollIntervalMilliseconds);
        }
    })();
    return {
        stop: async () => {
            isOver = true;
            await loop;
        },
    };
}

/** Checks that no instance is placed twice and that no fabric domain's epoch decreases. */
export function observePlacements(store: KeyValueStore, report: (problem: string) => void): Observation {
    const epochs = new Map<string, number>();
    return observe(async () => {
        const read = await store.list(placementPrefix, { deadline: deadline(), priority: "other" });
        if (!read.success) {
            return;
        }
        const places = new Map<string, string>();
        for (const entry of read.data.entries) {
            const placement = safeParseFabricPlacement(entry.value);
            if (!placement.success) {
                report(`${entry.key} is invalid: ${placement.fault.message}`);
                continue;
            }
            const { fabricDomain, epoch, groups, spares, quarantined } = placement.data;
            if (epoch < (epochs.get(fabricDomain) ?? 0)) {
                report(`the epoch of ${fabricDomain} decreased to ${epoch}`);
            }
            epochs.set(fabricDomain, epoch);
            const named = [
                ...groups.flatMap(group => group.members.map(member => [member, group.id] as const)),
                ...spares.map(spare => [spare, `spares of ${fabricDomain}`] as const),
                ...quarantined.map(member => [member, `quarantine of ${fabricDomain}`] as const),
            ];
            for (const [member, place] of named) {
                const other = places.get(member);
                if (other !== undefined) {
                    report(`${member} is placed in ${other} and in ${place}`);
                }
                places.set(member, place);
            }
        }
    });
}

/** Raises one configuration value repeatedly, and polls the value that is in force at each entry instance. */
export class ConfigurationObserver {
    private readonly store: KeyValueStore;
    private readonly entries: readonly string[];
    private readonly report: (problem: string) => void;
    /** Accepted values with the time of acceptance, in local monotonic milliseconds. */
    private readonly accepted = new Map<number, number>();
    /** Highest value seen in force at each entry instance. */
    private readonly highestSeen = new Map<string, number>();
    private value = 5000;
    /** Longest time from the acceptance of a value until an entry instance was seen with it, in milliseconds. */
    private slowestPropagationMilliseconds = 0;

    private constructor(store: KeyValueStore, entries: readonly string[], report: (problem: string) => void) {
        this.store = store;
        this.entries = entries;
        this.report = report;
    }

    public static create(
        store: KeyValueStore,
        entries: readonly string[],
        report: (problem: string) => void,
    ): ConfigurationObserver {
        return new ConfigurationObserver(store, entries, report);
    }

    /** Raises the value by one; true once the store has accepted it. */
    public async raise(): Promise<boolean> {
        const options = { deadline: deadline(), priority: "configuration" } as const;
        const read = await this.store.get(limitsPath, options);
        const known = read.success ? read.data.entries[0] : undefined;
        if (known === undefined) {
            return false;
        }
        const current = (JSON.parse(known.value) as { maximumTokens: number }).maximumTokens;
        this.value = Math.max(this.value, current) + 1;
        const value = JSON.stringify({ maximumTokens: this.value });
        const swap = { key: limitsPath, expectedRevision: known.modRevision, value };
        const outcome = await this.store.compareAndSwap(swap, { ...options, deadline: deadline() });
        if (outcome.kind === "swapped") {
            this.accepted.set(this.value, systemClock.monotonicMilliseconds());
        }
        return outcome.kind === "swapped";
    }

    /** Starts to poll every entry instance. */
    public start(): Observation {
        const observations = this.entries.map(entry => observe(() => this.pollEntry(entry)));
        return { stop: async () => void (await Promise.all(observations.map(one => one.stop()))) };
    }

    /** Waits until every entry instance has the latest accepted value in force, or reports those that have not. */
    public async waitForLatest(): Promise<void> {
        const latest = Math.max(0, ...this.accepted.keys());
        const end = systemClock.monotonicMilliseconds() + maximumPropagationMilliseconds;
        const behind = (): readonly string[] =>
            this.entries.filter(entry => (this.highestSeen.get(entry) ?? 0) < latest);
        while (behind().length > 0 && systemClock.monotonicMilliseconds() < end) {
            await sleep(pollIntervalMilliseconds);
        }
        for (const entry of behind()) {
            this.report(
                `${entry} has ${this.highestSeen.get(entry)} in force instead of the accepted ${latest}`,
            );
        }
    }

    public counts(): Readonly<Record<string, number>> {
        return {
            configurationsAccepted: this.accepted.size,
            slowestSpreadMilliseconds: Math.round(this.slowestPropagationMilliseconds),
        };
    }

    private async pollEntry(entry: string): Promise<void> {
        const response = await makeCall({
            method: "POST",
            url: `${entry}/v1/completions`,
            headers: authorize(demoCredentials[0]),
            body: JSON.stringify({ model: demoModel, prompt: "x", max_tokens: excessiveTokens }),
            timeoutMilliseconds: callTimeoutMilliseconds,
        });
        const inForce = Number(/at most (\d+)/.exec(response.body)?.[1]);
        if (errorOf(response.json).code !== "invalidRequest" || Number.isNaN(inForce)) {
            return;
        }
        const before = this.highestSeen.get(entry) ?? 0;
        if (inForce < before) {
            this.report(`${entry} went back from ${before} to ${inForce}`);
        }
        this.highestSeen.set(entry, Math.max(before, inForce));
        this.recordPropagation(before, inForce);
    }

    private recordPropagation(before: number, inForce: number): void {
        const now = systemClock.monotonicMilliseconds();
        for (const [value, at] of this.accepted) {
            if (value > before && value <= inForce) {
                this.slowestPropagationMilliseconds = Math.max(this.slowestPropagationMilliseconds, now - at);
            }
        }
    }
}
