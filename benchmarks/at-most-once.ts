/**
 * Keyed calls under faults, with callers that repeat a key until they know its outcome, and the price of the claims:
 * throughput, latency and store writes per action at several batch sizes. The baseline sends without a claim.
 */
import { ClaimWorld, wallStart } from "../tests/histories/claims-worlds.js";
import type { Attempt, WorldOptions } from "../tests/histories/claims-worlds.js";
import { claimRules } from "../src/core/claim-rules.js";
import { createRandomNumber, exponential } from "../src/core/random-numbers.js";
import type { ServiceCall } from "../src/core/requests.js";
import type { ExperimentReport } from "./experiments.js";
import { Times } from "./fakes/figures.js";

const entries = 4;
const faultyActions = 600;
const faultyRate = 10;
const lossRate = 0.05;
const disturbanceMilliseconds = 4_000;
const remaining = 3_000;
const repeatMilliseconds = 500;
const maximumRepeats = 10;
const secondMilliseconds = 1_000;
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

function keyOf(mintedAt: number, random: () => number): string {
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

/** One caller's booking: the same key is sent again, to another entry, until its outcome is known. */
class Booking {
    public isAnswered = false;
    public toldUnknown = false;
    private repeats = 0;

    private constructor(
        private readonly world: ClaimWorld,
        private readonly key: string,
        private readonly random: () => number,
    ) {}

    public static create(world: ClaimWorld, random: () => number): Booking {
        return new Booking(world, keyOf(wallStart + world.loop.now(), random), random);
    }

    public send(): void {
        const entry = Math.floor(this.random() * entries);
        const connection = this.repeats;
        this.world.request(entry, booking(this.key, this.repeats > 0), remaining, attempt =>
            this.told(attempt, connection),
        );
        // An entry that dies tells nothing: the caller's connection breaks and it sends the key again.
        this.world.loop.after(remaining + repeatMilliseconds, () => this.repeat(connection));
    }

    private told({ told }: Attempt, connection: number): void {
        if (told?.kind === "answered") {
            this.isAnswered = true;
            return;
        }
        if (told?.fault.code === "outcomeUnknown") {
            this.toldUnknown = true;
        }
        this.world.loop.after(repeatMilliseconds, () => this.repeat(connection));
    }

    private repeat(connection: number): void {
        if (!this.isAnswered && connection === this.repeats && this.repeats < maximumRepeats) {
            this.repeats += 1;
            this.send();
        }
    }
}

function disturbRegularly(world: ClaimWorld, random: () => number): void {
    world.loop.every(disturbanceMilliseconds, () => {
        const entry = Math.floor(random() * entries);
        const kinds = [
            () => world.pause(entry, 2_000),
            () => world.crash(entry),
            () => world.cut(entry, 2_000),
            () => (world.storeDownUntil = world.loop.now() + 1_500),
        ];
        kinds[Math.floor(random() * kinds.length)]!();
        return !world.isCalm;
    });
}

async function runFaulty(seed: number, rules: WorldOptions["rules"]) {
    const world = ClaimWorld.create({ seed, entries, lossRate, rules });
    const random = createRandomNumber(seed + 1);
    const bookings: Booking[] = [];
    let at = 0;
    for (let count = 0; count < faultyActions; count += 1) {
        at += exponential(secondMilliseconds / faultyRate, random);
        world.loop.at(at, () => {
            const next = Booking.create(world, random);
            bookings.push(next);
            next.send();
        });
    }
    disturbRegularly(world, random);
    await world.loop.runUntilSettled(at + 10 * secondMilliseconds);
    world.isCalm = true;
    await world.loop.runUntilSettled(at + 60 * secondMilliseconds);
    return countFaulty(world, bookings);
}

function countFaulty(world: ClaimWorld, bookings: readonly Booking[]) {
    const runs = new Map<string, number>();
    world.executions.forEach(({ key }) => runs.set(key, (runs.get(key) ?? 0) + 1));
    const ranRequests = new Set(world.executions.map(({ request }) => request));
    const firstRun = new Map([...world.executions].reverse().map(({ key, at }) => [key, at]));
    const isFalse = ({ call, told, toldAt = 0 }: Attempt) =>
        told?.kind === "refused" &&
        told.fault.notRun &&
        (ranRequests.has(call.id) || (firstRun.get(call.key ?? "") ?? Infinity) <= toldAt);
    return {
        actions: bookings.length,
        requests: world.attempts.length,
        doubleRuns: [...runs.values()].filter(count => count > 1).length,
        falseNotRun: world.attempts.filter(isFalse).length,
        answered: bookings.filter(({ isAnswered }) => isAnswered).length,
        endedUnknown: bookings.filter(({ isAnswered, toldUnknown }) => !isAnswered && toldUnknown).length,
    };
}

async function runCost(seed: number, costCase: (typeof costCases)[number], rules: WorldOptions["rules"]) {
    const { rate, maximumBatch, shards } = costCase;
    const world = ClaimWorld.create({
        seed,
        entries,
        lossRate: 0,
        rules,
        claims: { maximumBatch, shards },
    });
    const random = createRandomNumber(seed + 2);
    const latency = Times.create();
    const end = costSeconds * secondMilliseconds;
    let answered = 0;
    for (let at = 0; at < end; at += exponential(secondMilliseconds / rate, random)) {
        const start = at;
        world.loop.at(at, () => {
            const key = keyOf(wallStart + start, random);
            world.request(Math.floor(random() * entries), booking(key, false), remaining, ({ told }) => {
                answered += told?.kind === "answered" ? 1 : 0;
                latency.add(world.loop.now() - start);
            });
        });
    }
    await world.loop.runUntilSettled(end + 2 * remaining);
    const actions = world.attempts.length;
    const perAction = (count: number) => Math.round((count / actions) * 100) / 100;
    return {
        offeredPerSecond: rate,
        maximumBatch,
        shards,
        answeredPerSecond: answered / costSeconds,
        refused: actions - answered,
        p50Milliseconds: latency.percentile(50),
        p99Milliseconds: latency.percentile(99),
        storeWritesPerAction: perAction(world.store.swaps),
        conflictsPerAction: perAction(world.store.conflicts),
        storeReadsPerAction: perAction(world.store.reads),
        longestValueCharacters: world.store.longestValue(),
    };
}

/** At most once, and what it costs. */
export async function atMostOnce(seed: number): Promise<ExperimentReport> {
    const unclaimed = { claims: { ...claimRules, requiresClaim: false } };
    const measured = await runFaulty(seed, undefined);
    const baseline = await runFaulty(seed, unclaimed);
    const costs = [];
    for (const costCase of costCases) {
        costs.push(await runCost(seed, costCase, undefined));
    }
    return {
        experiment: "at-most-once",
        seed,
        target: { doubleRuns: 0, falseNotRun: 0 },
        measured: { ...measured, costs },
        baseline: { ...baseline, costs: await runCost(seed, costCases[4]!, unclaimed) },
        holds: measured.doubleRuns === 0 && measured.falseNotRun === 0,
    };
}
