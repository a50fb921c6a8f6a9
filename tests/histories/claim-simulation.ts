/** Simulation of several entry instances with one key-value store and one service, in virtual time. */
import { VirtualLoop } from "../../benchmarks/virtual-loop.js";
import type { SendOutcome } from "../../src/contracts/services.js";
import type { ClaimOptions, ClaimRules } from "../../src/core/claim-rules.js";
import { ClaimSweep } from "../../src/core/claim-sweep.js";
import type { Fault } from "../../src/core/errors.js";
import type { KeyWindowOptions } from "../../src/core/idempotency-keys.js";
import type { Instance } from "../../src/core/instances.js";
import { createRandomGenerator } from "../../src/core/random-numbers.js";
import type { ServiceCall } from "../../src/core/requests.js";
import type { SendRules, ServiceOutcome } from "../../src/daemons/entry/running-call.js";
import type { ClaimSweepsOptions } from "../../src/daemons/entry/claim-sweeps.js";
import { sweepBucket } from "../../src/daemons/entry/claim-sweeps.js";
import type { ServiceCalls } from "../../src/daemons/entry/service-calls.js";
import { createServiceCalls } from "../../src/daemons/entry/service-calls.js";
import type { CallEffect } from "./simulated-store.js";
import { SimulatedStore, connectStore } from "./simulated-store.js";

export const wallClockStart = 1_800_000_000_000;

/** One execution of a call at the service. */
export interface Execution {
    readonly request: string;
    readonly key: string;
    readonly at: number;
    readonly answer: string;
}

/** One request and its outcome. */
export interface Attempt {
    readonly call: ServiceCall;
    readonly entry: number;
    outcome?: ServiceOutcome;
    outcomeAt?: number;
    sentAt?: number;
    /** True if a dispatch of this request ended with an unknown outcome. */
    isUnknown: boolean;
}

export interface ClaimSimulationOptions {
    readonly seed: number;
    readonly entries: number;
    /** Probability of each kind of fault, for each call. */
    readonly lossRate: number;
    readonly rules?: { readonly claims?: ClaimRules; readonly sends?: SendRules };
    readonly claims?: Partial<ClaimOptions>;
    /** Difference between the wall clocks of successive entries; must stay within the skew that `claims` allows. */
    readonly skewMilliseconds?: number;
    /** Window by which expired claims are swept; undefined: claims are not swept. */
    readonly sweepWindow?: KeyWindowOptions;
}

interface Entry {
    calls: ServiceCalls;
    pausedUntil: number;
    disconnectedUntil: number;
    incarnation: number;
}

function serviceInstance(number: number): Instance {
    return {
        id: `service-${number}`,
        address: `127.0.0.1:${9000 + number}`,
        failureDomain: "a",
        fabricDomain: "a",
        role: "service",
        service: "depot",
        state: "live",
    };
}

const sweepIntervalMilliseconds = 100;
const sweepLookbackBuckets = 20;
const instances = [0, 1, 2].map(serviceInstance);
const fault: Fault = { code: "endpointFailed", message: "lost", step: "send", notRun: false };

/** Simulation of one history. */
export class ClaimSimulation {
    public readonly loop = VirtualLoop.create();
    public readonly store = SimulatedStore.create();
    public readonly executions: Execution[] = [];
    public readonly attempts: Attempt[] = [];
    public readonly crashedEntries = new Set<number>();
    public isCalm = false;
    public storeDownUntil = -1;
    private readonly attemptsById = new Map<string, Attempt>();
    private readonly random: () => number;
    private readonly entries: Entry[] = [];

    private constructor(private readonly options: ClaimSimulationOptions) {
        this.random = createRandomGenerator(options.seed);
        for (let index = 0; index < options.entries; index += 1) {
            this.entries.push({ calls: undefined!, pausedUntil: -1, disconnectedUntil: -1, incarnation: 0 });
            this.start(index);
        }
    }

    public static create(options: ClaimSimulationOptions): ClaimSimulation {
        return new ClaimSimulation(options);
    }

    /** Sends a request to an entry; each request with a key is an attempt of its own. */
    public request(
        index: number,
        call: Omit<ServiceCall, "id" | "deadline">,
        remaining: number,
        notify: (attempt: Attempt) => void = () => undefined,
    ): void {
        this.deliver(index, this.entries[index]!.incarnation, () => {
            const id = `attempt-${this.attempts.length}`;
            const deadline = this.loop.now() + remaining;
            const attempt: Attempt = { call: { ...call, id, deadline }, entry: index, isUnknown: false };
            this.attempts.push(attempt);
            this.attemptsById.set(id, attempt);
            void this.entries[index]!.calls.run(attempt.call).then(receivedOutcome => {
                attempt.outcome = receivedOutcome;
                attempt.outcomeAt = this.loop.now();
                notify(attempt);
            });
        });
    }

    /** Freezes an entry's process. */
    public pause(index: number, milliseconds: number): void {
        this.entries[index]!.pausedUntil = this.loop.now() + milliseconds;
    }

    /** Disconnects an entry from the store. */
    public disconnectFromStore(index: number, milliseconds: number): void {
        this.entries[index]!.disconnectedUntil = this.loop.now() + milliseconds;
    }

    /** Kills an entry's process and starts another in its place. */
    public crash(index: number): void {
        this.crashedEntries.add(index);
        this.entries[index]!.incarnation += 1;
        this.start(index);
    }

    /** Indexes of the entries that do not become idle within ten seconds. */
    public async findBusyEntries(): Promise<readonly number[]> {
        const idle = new Set<number>();
        this.entries.forEach((entry, index) => void entry.calls.whenIdle().then(() => idle.add(index)));
        await this.loop.runUntilSettled(this.loop.now() + 10_000);
        return this.entries.map((_, index) => index).filter(index => !idle.has(index));
    }

    private start(index: number): void {
        const { incarnation } = this.entries[index]!;
        const deliver = (action: () => void) => this.deliver(index, incarnation, action);
        const clock = {
            monotonicMilliseconds: () => this.loop.now(),
            // Entry clocks differ by up to the allowed skew.
            wallMilliseconds: () =>
                wallClockStart + this.loop.now() + (index - 1) * (this.options.skewMilliseconds ?? 0),
        };
        const store = connectStore(this.store, this.loop, () => this.nextStoreEffect(index), deliver);
        this.startSweeps(index, incarnation, { store, clock });
        this.entries[index]!.calls = createServiceCalls({
            store,
            send: (call, instance) => this.send(call, instance, deliver),
            route: (_, tried) => instances.find(({ id }) => !tried.includes(id)),
            clock,
            random: this.random,
            record: () => undefined,
            claims: { storeTimeoutMilliseconds: 300, shards: 2, ...this.options.claims },
            schedule: (at, action) => this.loop.at(at, () => deliver(action)),
            rules: this.options.rules,
        });
    }

    private startSweeps(index: number, incarnation: number, options: ClaimSweepsOptions): void {
        const { sweepWindow } = this.options;
        if (sweepWindow === undefined) {
            return;
        }
        const { clock } = options;
        const sweep = ClaimSweep.create(
            sweepWindow,
            () => true,
            clock.wallMilliseconds(),
            sweepLookbackBuckets,
        );
        this.loop.every(sweepIntervalMilliseconds, () => {
            const sweepDue = () => {
                const bucket = sweep.nextExpiredBucket(clock.wallMilliseconds());
                return bucket === undefined ? undefined : sweepBucket(options, sweep, bucket);
            };
            this.deliver(index, incarnation, () => void sweepDue());
            return this.entries[index]!.incarnation === incarnation;
        });
    }

    private deliver(index: number, incarnation: number, action: () => void): void {
        const entry = this.entries[index]!;
        if (entry.incarnation !== incarnation) {
            return;
        }
        if (this.loop.now() < entry.pausedUntil) {
            this.loop.at(entry.pausedUntil, () => this.deliver(index, incarnation, action));
            return;
        }
        action();
    }

    private isLost(): boolean {
        return !this.isCalm && this.random() < this.options.lossRate;
    }

    private nextStoreEffect(index: number): CallEffect {
        const isAway =
            this.loop.now() < Math.max(this.storeDownUntil, this.entries[index]!.disconnectedUntil) &&
            !this.isCalm;
        const delay = 1 + this.random() * 10;
        const isLate = this.isLost();
        const isNever = this.isLost() || (isAway && this.random() < 0.5);
        return {
            effectAfter: isNever ? undefined : isLate ? 200 + this.random() * 1_500 : delay,
            responseAfter: this.isLost() ? undefined : delay,
            isDuplicated: this.isLost(),
            isStale: this.isLost(),
            isRefused: isAway && this.random() < 0.5,
        };
    }

    private send(
        call: ServiceCall,
        instance: Instance,
        deliver: (action: () => void) => void,
    ): Promise<SendOutcome> {
        const attempt = this.attemptsById.get(call.id)!;
        attempt.sentAt = this.loop.now();
        return new Promise(resolve => {
            const answer = (milliseconds: number, outcome: SendOutcome) => {
                attempt.isUnknown ||= outcome.kind === "unknown";
                this.loop.after(milliseconds, () => deliver(() => resolve(outcome)));
            };
            if (this.isLost()) {
                answer(1, { kind: "notRun", fault: { ...fault, notRun: true, peer: instance.id } });
                return;
            }
            if (this.isLost()) {
                answer(50, { kind: "unknown", fault });
                return;
            }
            const delay = this.isLost() ? 500 + this.random() * 2_000 : 1 + this.random() * 20;
            const isAnswerLost = this.isLost();
            if (isAnswerLost) {
                answer(this.random() * 100, { kind: "unknown", fault });
            }
            this.loop.after(delay, () => {
                const body = this.execute(call);
                if (!isAnswerLost) {
                    answer(delay, { kind: "answered", answer: { status: 201, body } });
                }
            });
        });
    }

    private execute(call: ServiceCall): string {
        const answer = `run ${this.executions.length} of ${call.body}`;
        const key = call.key ?? call.id;
        this.executions.push({ request: call.id, key, at: this.loop.now(), answer });
        return answer;
    }
}
