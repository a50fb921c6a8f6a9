/**
 * Calls with idempotency keys under faults, with callers that retry a key until they know its outcome; cost of claims:
 * throughput, latency and store writes per action at several batch sizes. The baseline sends without a claim.
 */
import { ClaimSimulation, wallClockStart } from "../tests/histories/claim-simulation.js";
import type { Attempt, ClaimSimulationOptions } from "../tests/histories/claim-simulation.js";
import { claimRules } from "../src/core/claim-rules.js";
import { createRandomGenerator, randomExponential } from "../src/core/random-numbers.js";
import type { ServiceCall } from "../src/core/requests.js";
import type { ExperimentReport } from "./experiment.js";
import { Times } from "./fakes/figures.js";

const entries = 4;
const faultyActions = 600;
const faultyActionsPerSecond = 10;
const lossRate = 0.05;
const disturbanceIntervalMilliseconds = 4_000;
const remainingMilliseconds = 3_000;
const retryDelayMilliseconds = 500;
const maximumRetries = 10;
const millisecondsPerSecond = 1_000;
const costSeconds = 5;
const costCases = [
    { rate: 10, maximumBatch: 1, shards: 4 },
    { rate: 10, maximumBatch: 256, shards: 4 },
    { rate: 100, maximumBatch: 1, shards: 4 },
    { rate: 100, maximumBatch: 8, shards: 4 },
    { rate: 100, maximumBatch: 256, shards: 4 },
    { rate: 100, maximumBatch: 256, shards: 1 },
    { rate: 400, maximumBatch: 1, shards: 16 },
    { rate: 400, maximumBatch: 8, shards: 16 },
    { rate: 400, maximumBatch: 256, shards: 16 },
    { rate: 400, maximumBatch: 256, shards: 4 },
];

function createKey(mintedAt: number, random: () => number): string {
    const time = Math.floor(mintedAt).toString(16).padStart(12, "0");
    const digits = (count: number) =>
        Array.from({ length: count }, () => Math.floor(random() * 16).toString(16)).join("");
    return `${time.slice(0, 8)}-${time.slice(8)}-7${digits(3)}-8${digits(3)}-${digits(12)}`;
}

function booking(key: string, isRepeat: boolean): Omit<ServiceCall, "id" | "deadline"> {
    return {
        caller: { team: "kelani", subscriber: "driver-1" },
        service: "depot",
        method: "POST",
        path: "/bookings",
        body: `booking ${key}`,
        idempotent: false,
        key,
        isRepeat,
    };
}

/** One caller's booking: retries its key at another entry until the outcome is known. */
class Booking {
    public isAnswered = false;
    public isOutcomeUnknown = false;
    private retryCount = 0;

    private constructor(
        private readonly simulation: ClaimSimulation,
        private readonly key: string,
        private readonly random: () => number,
    ) {}

    public static create(simulation: ClaimSimulation, random: () => number): Booking {
        return new Booking(simulation, createKey(wallClockStart + simulation.loop.now(), random), random);
    }

    public send(): void {
        const entry = Math.floor(this.random() * entries);
        const connection = this.retryCount;
        this.simulation.request(
            entry,
            booking(this.key, this.retryCount > 0),
            remainingMilliseconds,
            attempt => this.handleResponse(attempt, connection),
        );
        // A dead entry sends no response: the caller's connection breaks and the caller retries the key.
        this.simulation.loop.after(remainingMilliseconds + retryDelayMilliseconds, () =>
            this.retry(connection),
        );
    }

    private handleResponse({ outcome: told }: Attempt, connection: number): void {
        if (told?.kind === "answered") {
            this.isAnswered = true;
            return;
        }
        if (told?.fault.code === "outcomeUnknown") {
            this.isOutcomeUnknown = true;
        }
        this.simulation.loop.after(retryDelayMilliseconds, () => this.retry(connection));
    }

    private retry(connection: number): void {
        if (!this.isAnswered && connection === this.retryCount && this.retryCount < maximumRetries) {
            this.retryCount += 1;
            this.send();
        }
    }
}

function disturbRegularly(simulation: ClaimSimulation, random: () => number): void {
    simulation.loop.every(disturbanceIntervalMilliseconds, () => {
        const entry = Math.floor(random() * entries);
        const kinds = [
            () => simulation.pause(entry, 2_000),
            () => simulation.crash(entry),
            () => simulation.disconnectFromStore(entry, 2_000),
            () => (simulation.storeDownUntil = simulation.loop.now() + 1_500),
        ];
        kinds[Math.floor(random() * kinds.length)]!();
        return !simulation.isCalm;
    });
}

async function runFaulty(seed: number, rules: ClaimSimulationOptions["rules"]) {
    const simulation = ClaimSimulation.create({ seed, entries, lossRate, rules });
    const random = createRandomGenerator(seed + 1);
    const bookings: Booking[] = [];
    let at = 0;
    for (let count = 0; count < faultyActions; count += 1) {
        at += randomExponential(millisecondsPerSecond / faultyActionsPerSecond, random);
        simulation.loop.at(at, () => {
            const next = Booking.create(simulation, random);
            bookings.push(next);
            next.send();
        });
    }
    disturbRegularly(simulation, random);
    await simulation.loop.runUntilSettled(at + 10 * millisecondsPerSecond);
    simulation.isCalm = true;
    await simulation.loop.runUntilSettled(at + 60 * millisecondsPerSecond);
    return countFaulty(simulation, bookings);
}

function countFaulty(simulation: ClaimSimulation, bookings: readonly Booking[]) {
    const runs = new Map<string, number>();
    simulation.executions.forEach(({ key }) => runs.set(key, (runs.get(key) ?? 0) + 1));
    const ranRequests = new Set(simulation.executions.map(({ request }) => request));
    const firstRun = new Map([...simulation.executions].reverse().map(({ key, at }) => [key, at]));
    const isFalse = ({ call, outcome: told, outcomeAt: toldAt = 0 }: Attempt) =>
        told?.kind === "refused" &&
        told.fault.notRun &&
        (ranRequests.has(call.id) || (firstRun.get(call.key ?? "") ?? Infinity) <= toldAt);
    return {
        actions: bookings.length,
        requests: simulation.attempts.length,
        doubleRuns: [...runs.values()].filter(count => count > 1).length,
        falseNotRun: simulation.attempts.filter(isFalse).length,
        answered: bookings.filter(({ isAnswered }) => isAnswered).length,
        endedUnknown: bookings.filter(({ isAnswered, isOutcomeUnknown }) => !isAnswered && isOutcomeUnknown)
            .length,
    };
}

async function measureCost(
    seed: number,
    costCase: (typeof costCases)[number],
    rules: ClaimSimulationOptions["rules"],
) {
    const { rate, maximumBatch, shards } = costCase;
    const simulation = ClaimSimulation.create({
        seed,
        entries,
        lossRate: 0,
        rules,
        claims: { maximumBatch, shards },
    });
    const random = createRandomGenerator(seed + 2);
    const latency = Times.create();
    const end = costSeconds * millisecondsPerSecond;
    let answered = 0;
    for (let at = 0; at < end; at += randomExponential(millisecondsPerSecond / rate, random)) {
        const start = at;
        simulation.loop.at(at, () => {
            const key = createKey(wallClockStart + start, random);
            simulation.request(
                Math.floor(random() * entries),
                booking(key, false),
                remainingMilliseconds,
                ({ outcome: told }) => {
                    answered += told?.kind === "answered" ? 1 : 0;
                    latency.add(simulation.loop.now() - start);
                },
            );
        });
    }
    await simulation.loop.runUntilSettled(end + 2 * remainingMilliseconds);
    const actions = simulation.attempts.length;
    const perAction = (count: number) => Math.round((count / actions) * 100) / 100;
    return {
        offeredPerSecond: rate,
        maximumBatch,
        shards,
        answeredPerSecond: answered / costSeconds,
        refused: actions - answered,
        p50Milliseconds: latency.percentile(50),
        p99Milliseconds: latency.percentile(99),
        storeWritesPerAction: perAction(simulation.store.swaps),
        conflictsPerAction: perAction(simulation.store.conflicts),
        storeReadsPerAction: perAction(simulation.store.reads),
        longestValueCharacters: simulation.store.longestValue(),
    };
}

/** Measures at-most-once execution and its cost. */
export async function atMostOnce(seed: number): Promise<ExperimentReport> {
    const unclaimed = { claims: { ...claimRules, requiresClaim: false } };
    const measured = await runFaulty(seed, undefined);
    const baseline = await runFaulty(seed, unclaimed);
    const costs = [];
    for (const costCase of costCases) {
        costs.push(await measureCost(seed, costCase, undefined));
    }
    return {
        experiment: "at-most-once",
        seed,
        target: { doubleRuns: 0, falseNotRun: 0 },
        measured: { ...measured, costs },
        baseline: { ...baseline, costs: await measureCost(seed, costCases[4]!, unclaimed) },
        holds: measured.doubleRuns === 0 && measured.falseNotRun === 0,
    };
}
