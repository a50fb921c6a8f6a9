/** Simulates entries behind a random load balancer, engines, load reports, cache events and usage exchange. */
import type { AdmissionOptions } from "../../src/core/admission.js";
import { Admission } from "../../src/core/admission.js";
import { ArrivalQueue } from "../../src/core/fair-queue.js";
import { hashNumber } from "../../src/core/hashes.js";
import { createRandomGenerator } from "../../src/core/random-numbers.js";
import type { Caller } from "../../src/core/requests.js";
import { chooseRoundRobin, chooseFewestInFlight } from "../../src/core/route-policies.js";
import type { RoutedGroup, RouterOptions } from "../../src/core/router.js";
import { Router } from "../../src/core/router.js";
import type { Team } from "../../src/core/teams.js";
import { VirtualLoop } from "../virtual-loop.js";
import type { Arrival } from "./arrivals.js";
import type { EngineShape } from "./fake-engine.js";
import { FakeEngine, defaultShape } from "./fake-engine.js";
import type { MayRetry, OnRefused } from "./fake-entry.js";
import { FakeEntry, callerDelayMilliseconds } from "./fake-entry.js";
import { Figures } from "./figures.js";

/** Options of admission and routing that make up one policy. */
export interface Policy {
    readonly name: string;
    readonly admission: Partial<AdmissionOptions>;
    /** Called once for each entry, so that entries share no state. */
    readonly createRouting: () => Partial<RouterOptions>;
    readonly exchangesUsage: boolean;
}

/** The policy of the product. */
export const fairPolicy: Policy = {
    name: "fair",
    admission: {},
    createRouting: () => ({}),
    exchangesUsage: true,
};

const plainAdmission: Partial<AdmissionOptions> = {
    createQueue: ArrivalQueue.create,
    borrowing: false,
    refusesLateStarts: false,
};

/** First in, first out; replicas in round-robin order. */
export const roundRobinPolicy: Policy = {
    name: "FIFO + round robin",
    admission: plainAdmission,
    createRouting: () => ({ chooseRoute: chooseRoundRobin(), detectsStragglers: false, usesCredits: false }),
    exchangesUsage: false,
};

/** First in, first out; the replica with the fewest in-flight requests of the same entry. */
export const leastInFlightPolicy: Policy = {
    name: "FIFO + least in flight",
    admission: plainAdmission,
    createRouting: () => ({
        chooseRoute: chooseFewestInFlight,
        detectsStragglers: false,
        usesCredits: false,
    }),
    exchangesUsage: false,
};

/** The policy of the product without the exchange of usage between entries. */
export const localPolicy: Policy = { ...fairPolicy, name: "local limits only", exchangesUsage: false };

/** Options of one run; times in virtual milliseconds. */
export interface RoutingSimulationOptions {
    readonly policy: Policy;
    readonly seed: number;
    readonly arrivals: readonly Arrival[];
    readonly teams: readonly Team[];
    readonly isHeavy?: (caller: Caller) => boolean;
    readonly engines?: number;
    readonly entries?: number;
    readonly failureDomains?: number;
    readonly shape?: EngineShape;
    readonly warmUp?: number;
    readonly end: number;
    readonly onRefused?: (simulation: RoutingSimulation) => OnRefused;
    readonly mayRetry?: MayRetry;
    /** Returns the index of the entry for an arrival; entries are chosen at random unless given. */
    readonly balance?: (arrival: Arrival, entries: number, random: () => number) => number;
    /** Schedules faults before the run starts. */
    readonly prepare?: (simulation: RoutingSimulation) => void;
}

const reportIntervalMilliseconds = 1_000;
/** Time after a report during which the serving gate is open. */
const healthMilliseconds = 3_000;
const exchangeIntervalMilliseconds = 1_000;
const lostCacheEvents = 0.05;
const sampleIntervalMilliseconds = 50;

/** One simulation. */
export class RoutingSimulation {
    public readonly loop = VirtualLoop.create();
    public readonly engines = new Map<string, FakeEngine>();
    public readonly entries: FakeEntry[] = [];
    /** Collects the measurements; may be replaced between phases of a run. */
    public figures: Figures;
    /** Failure domain of each entry and engine. */
    public readonly domains = new Map<string, string>();
    /** Failure domain that is cut off from all others. */
    public cutDomain: string | undefined;
    /** Time until which each entry's serving gate is open, by group. */
    private readonly healthyUntil: Map<string, number>[] = [];
    /** Number of samples with a request queued at an entry; `idleWhileWaiting` sums their fractions of free slots. */
    public waitingSamples = 0;
    public idleWhileWaiting = 0;
    public samples = 0;
    public busyFraction = 0;
    private readonly random: () => number;

    private constructor(private readonly options: RoutingSimulationOptions) {
        this.random = createRandomGenerator(options.seed);
        this.figures = Figures.create(options.warmUp ?? 0, options.isHeavy ?? (() => false));
    }

    public static create(options: RoutingSimulationOptions): RoutingSimulation {
        const simulation = new RoutingSimulation(options);
        simulation.addEngines();
        simulation.addEntries();
        simulation.schedule();
        options.prepare?.(simulation);
        return simulation;
    }

    /** Runs the simulation to its end. */
    public run(): RoutingSimulation {
        this.loop.runUntil(this.options.end);
        return this;
    }

    /** Sends a request through the load balancer. */
    public send(arrival: Arrival): void {
        const { balance } = this.options;
        const count = this.entries.length;
        const index = balance?.(arrival, count, this.random) ?? Math.floor(this.random() * count);
        this.loop.after(callerDelayMilliseconds, () => {
            this.entries[index]!.receive(arrival);
        });
    }

    public canReach(from: string, to: string): boolean {
        const left = this.domains.get(from);
        const right = this.domains.get(to);
        return left === right || (left !== this.cutDomain && right !== this.cutDomain);
    }

    /** Returns the names of the entries that an entry can reach, itself included. */
    public reachableFrom(name: string): readonly string[] {
        const names = [...this.entries.keys()].map(index => `entry-${index}`);
        return names.filter(other => this.canReach(name, other));
    }

    /** Mean fraction of free slots while a request was queued. */
    public get idleFraction(): number {
        return this.waitingSamples === 0 ? 0 : this.idleWhileWaiting / this.waitingSamples;
    }

    private addEngines(): void {
        for (let index = 0; index < (this.options.engines ?? 4); index += 1) {
            const name = `group-${index}`;
            this.engines.set(name, FakeEngine.create(this.loop, this.options.shape ?? defaultShape));
            this.domains.set(name, `domain-${index % (this.options.failureDomains ?? 1)}`);
        }
    }

    private addEntries(): void {
        const count = this.options.entries ?? 4;
        const names = Array.from(Array(count).keys(), index => `entry-${index}`);
        for (const [index, name] of names.entries()) {
            this.domains.set(name, `domain-${index % (this.options.failureDomains ?? 1)}`);
            this.entries.push(this.createEntry(name, names));
        }
    }

    private createEntry(name: string, names: readonly string[]): FakeEntry {
        const { policy, seed, teams, onRefused, mayRetry } = this.options;
        const random = createRandomGenerator(hashNumber(`${seed}/${name}`));
        const healthyUntil = new Map([...this.engines.keys()].map(id => [id, healthMilliseconds]));
        this.healthyUntil.push(healthyUntil);
        const admission = Admission.create({ random, ...policy.admission });
        admission.applyTeams(teams);
        const router = Router.create({
            entry: name,
            failureDomain: this.domains.get(name)!,
            isOpen: (group, now) => now < (healthyUntil.get(group.id) ?? 0),
            random,
            ...policy.createRouting(),
        });
        router.applyGroups([...this.engines.keys()].map(id => this.routedGroup(id)));
        router.applyEntries(names);
        for (const [id, engine] of this.engines) {
            router.observe(id, engine.load, 0);
        }
        const currentFigures = (): Figures => this.figures;
        return FakeEntry.create({
            loop: this.loop,
            admission,
            router,
            engineFor: id => (this.canReach(name, id) ? this.engines.get(id) : undefined),
            get figures() {
                return currentFigures();
            },
            onRefused: onRefused?.(this) ?? (() => {}),
            mayRetry: mayRetry ?? (() => false),
        });
    }

    private routedGroup(id: string): RoutedGroup {
        const model = { model: "model", version: "1" };
        const group = {
            id,
            model,
            fabricDomain: id,
            members: [id],
            epoch: 1,
            state: "serving" as const,
        };
        return { group, failureDomain: this.domains.get(id)! };
    }

    private schedule(): void {
        this.sendNext(0);
        this.loop.every(sampleIntervalMilliseconds, () => {
            this.sample();
        });
        for (const [id, engine] of this.engines) {
            this.loop.after(this.random() * reportIntervalMilliseconds, () => {
                this.loop.every(reportIntervalMilliseconds, () => {
                    this.report(id, engine);
                });
            });
        }
        if (this.options.policy.exchangesUsage) {
            for (const index of this.entries.keys()) {
                this.loop.after(this.random() * exchangeIntervalMilliseconds, () => {
                    this.loop.every(exchangeIntervalMilliseconds, () => {
                        this.exchange(index);
                    });
                });
            }
        }
    }

    private sendNext(index: number): void {
        const arrival = this.options.arrivals[index];
        if (arrival === undefined) {
            return;
        }
        this.loop.at(arrival.at, () => {
            this.figures.offered += arrival.at >= this.figures.from ? 1 : 0;
            this.send(arrival);
            this.sendNext(index + 1);
        });
    }

    /** Delivers a load report to each entry after a separate delay, as gossip does; cache events may be lost. */
    private report(id: string, engine: FakeEngine): void {
        const load = engine.load;
        const isLost = this.random() < lostCacheEvents;
        for (const [index, entry] of this.entries.entries()) {
            this.loop.after(200 + this.random() * 600, () => {
                if (!this.canReach(`entry-${index}`, id)) {
                    return;
                }
                const events = engine.cacheEventsAfter(entry.router.cacheSequenceOf(id));
                this.healthyUntil[index]!.set(id, this.loop.now() + healthMilliseconds);
                entry.router.observe(id, load, this.loop.now());
                entry.router.applyCacheEvents(id, isLost ? events.slice(-1) : events, this.loop.now());
                entry.pump();
            });
        }
    }

    private exchange(from: number): void {
        const snapshot = this.entries[from]!.admission.usageSnapshot();
        for (const [to, entry] of this.entries.entries()) {
            if (to !== from && this.canReach(`entry-${from}`, `entry-${to}`)) {
                this.loop.after(5 + this.random() * 500, () => {
                    entry.admission.applyPeerUsage(`entry-${from}`, 1, snapshot, this.loop.now());
                });
            }
        }
    }

    private sample(): void {
        if (this.loop.now() < this.figures.from) {
            return;
        }
        let slots = 0;
        let free = 0;
        for (const engine of this.engines.values()) {
            slots += engine.shape.slots;
            free += engine.freeSlots;
        }
        this.samples += 1;
        this.busyFraction += 1 - free / slots;
        if (this.entries.some(entry => entry.admission.queued > 0)) {
            this.waitingSamples += 1;
            this.idleWhileWaiting += free / slots;
        }
    }
}
