/** Proof of keyed calls: randomized histories under faults, and mutants that the checker must catch. */
import fc from "fast-check";
import type { ClaimRules } from "../../src/core/claim-rules.js";
import { claimRules } from "../../src/core/claim-rules.js";
import type { KeyWindowOptions } from "../../src/core/idempotency-keys.js";
import { defaultKeyWindow } from "../../src/core/idempotency-keys.js";
import type { ServiceCall } from "../../src/core/requests.js";
import type { SendRules } from "../../src/daemons/entry/running-call.js";
import { defaultSendRules } from "../../src/daemons/entry/running-call.js";
import type { Proof, ProofOptions } from "../proofs.js";
import { checkClaims, countUnmarkedRetries } from "./claim-checker.js";
import { ClaimSimulation, wallClockStart } from "./claim-simulation.js";
import type { HistoryResult } from "./history-search.js";
import { searchHistories, searchMutants } from "./history-search.js";

const faultsEndAt = 8_000;
const finalRetriesAt = 14_000;
const finalTimeoutMilliseconds = 4_000;
const maximumEntries = 4;
const keylessIndex = 3;

const operation = fc.record({
    at: fc.integer({ min: 0, max: 5_000 }),
    /** Index of the key; the highest index stands for a call without a key. */
    key: fc.nat({ max: keylessIndex }),
    entry: fc.nat({ max: maximumEntries - 1 }),
    /** Variants 0 and 1, which are 1 in 8 requests, have another body or another subscriber than the key's other requests. */
    variant: fc.nat({ max: 15 }),
    remaining: fc.integer({ min: 20, max: 3_000 }),
});

const disturbance = fc.record({
    at: fc.integer({ min: 0, max: 6_000 }),
    kind: fc.constantFrom("pause", "crash", "cut", "storeDown"),
    entry: fc.nat({ max: maximumEntries - 1 }),
    milliseconds: fc.integer({ min: 10, max: 3_000 }),
});

const scenario = fc.record({
    seed: fc.integer(),
    entries: fc.integer({ min: 1, max: maximumEntries }),
    lossRate: fc.constantFrom(0, 0.05, 0.15, 0.3),
    marksRepeats: fc.boolean(),
    /** Whether keys expire and claims are swept within the history. */
    isShort: fc.boolean(),
    maximumBatch: fc.constantFrom(1, 4, 256),
    operations: fc.array(operation, { minLength: 1, maxLength: 12 }),
    disturbances: fc.array(disturbance, { maxLength: 5 }),
});

type Scenario = typeof scenario extends fc.Arbitrary<infer T> ? T : never;

const longWindow = { ...defaultKeyWindow, shards: 2 };
const shortWindow: KeyWindowOptions = {
    windowMilliseconds: 4_000,
    allowedSkewMilliseconds: 150,
    bucketMilliseconds: 200,
    shards: 2,
    maximumRequestMilliseconds: 3_000,
};
const longSkewMilliseconds = 20_000;
const shortSkewMilliseconds = 100;

interface ClaimVariant {
    /** Changes to the window by which expired claims are swept. */
    readonly sweep?: Partial<KeyWindowOptions>;
    readonly claims?: ClaimRules;
    readonly sends?: SendRules;
}

function createKey(index: number): string {
    const time = (wallClockStart - 1_000 + index).toString(16).padStart(12, "0");
    return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-00000000000${index}`;
}

function createCall(key: number, variant: number, isRepeat: boolean): Omit<ServiceCall, "id" | "deadline"> {
    return {
        caller: { team: "kelani", subscriber: variant === 1 ? "driver-2" : "driver-1" },
        service: "depot",
        method: "POST",
        path: "/bookings",
        body: variant === 0 ? `other ${key}` : `booking ${key}`,
        idempotent: false,
        key: key === keylessIndex ? undefined : createKey(key),
        isRepeat,
    };
}

function disturb(
    simulation: ClaimSimulation,
    { kind, entry, milliseconds }: Scenario["disturbances"][number],
): void {
    switch (kind) {
        case "pause":
            return simulation.pause(entry, milliseconds);
        case "cut":
            return simulation.disconnectFromStore(entry, milliseconds);
        case "crash":
            return simulation.crash(entry);
        case "storeDown":
            simulation.storeDownUntil = simulation.loop.now() + milliseconds;
    }
}

function schedule(simulation: ClaimSimulation, history: Scenario): void {
    const used = new Set<number>();
    const operations = [...history.operations].sort((left, right) => left.at - right.at);
    for (const { at, key, entry, variant, remaining } of operations) {
        const call = createCall(key, variant, history.marksRepeats && used.has(key));
        used.add(key);
        simulation.loop.at(at, () => simulation.request(entry % history.entries, call, remaining));
    }
    for (const entry of history.disturbances) {
        simulation.loop.at(entry.at, () =>
            disturb(simulation, { ...entry, entry: entry.entry % history.entries }),
        );
    }
}

/** Runs one history and checks it. */
async function runHistory(history: Scenario, rules: ClaimVariant): Promise<HistoryResult> {
    const { seed, entries, lossRate, maximumBatch, isShort } = history;
    const window = isShort ? shortWindow : longWindow;
    const simulation = ClaimSimulation.create({
        seed,
        entries,
        lossRate,
        rules,
        claims: { ...window, maximumBatch },
        skewMilliseconds: isShort ? shortSkewMilliseconds : longSkewMilliseconds,
        sweepWindow: isShort ? { ...window, ...rules.sweep } : undefined,
    });
    schedule(simulation, history);
    await simulation.loop.runUntilSettled(faultsEndAt);
    simulation.isCalm = true;
    await simulation.loop.runUntilSettled(finalRetriesAt);
    const earlierAttempts = simulation.attempts.length;
    const keys = new Set(history.operations.map(({ key }) => key));
    keys.delete(keylessIndex);
    for (const key of keys) {
        simulation.request(0, createCall(key, 2, true), finalTimeoutMilliseconds);
    }
    await simulation.loop.runUntilSettled(finalRetriesAt + 2 * finalTimeoutMilliseconds);
    const busyEntries = await simulation.findBusyEntries();
    const hasPauses = history.disturbances.some(({ kind }) => kind === "pause");
    const finalAttempts = simulation.attempts.slice(earlierAttempts);
    const idleProblem =
        busyEntries.length > 0 ? `entries ${busyEntries.join()} never become idle` : undefined;
    const problem = checkClaims(simulation, finalAttempts, { hasPauses, mayExpire: isShort }) ?? idleProblem;
    return { problem, counts: countHistory(simulation) };
}

function countHistory(simulation: ClaimSimulation): Readonly<Record<string, number>> {
    const countAttempts = (isCounted: (attempt: (typeof simulation.attempts)[number]) => boolean) =>
        simulation.attempts.filter(isCounted).length;
    return {
        requests: simulation.attempts.length,
        runs: simulation.executions.length,
        answered: countAttempts(attempt => attempt.outcome?.kind === "answered"),
        notRun: countAttempts(({ outcome: t }) => t?.kind === "refused" && t.fault.notRun),
        unknown: countAttempts(({ outcome: t }) => t?.kind === "refused" && !t.fault.notRun),
        unmarkedRepeatsToldNotRun: countUnmarkedRetries(simulation),
        expired: countAttempts(({ outcome: t }) => t?.kind === "refused" && t.fault.code === "keyExpired"),
        conflicts: simulation.store.conflicts,
    };
}

/** Runs histories of keyed calls until one has a violation. */
export function searchClaims(options: ProofOptions, rules: ClaimVariant = {}) {
    return searchHistories(scenario, history => runHistory(history, rules), options);
}

/** Broken variants of the rules. */
export const claimMutants: Readonly<Record<string, ClaimVariant>> = {
    claimSkipped: { claims: { ...claimRules, requiresClaim: false } },
    claimAfterSend: { sends: { ...defaultSendRules, sendsBeforeClaim: true } },
    ambiguousWriteTakenAsDone: { claims: { ...claimRules, ambiguousCountsAs: "written" } },
    ambiguousWriteTakenAsFailed: { claims: { ...claimRules, ambiguousCountsAs: "failed" } },
    deadlineNotRechecked: { claims: { ...claimRules, isInTime: () => true } },
    releasedAfterSend: { claims: { ...claimRules, stateAfterNoResponse: "released" } },
    repeatedOnUnknown: { sends: { ...defaultSendRules, mayRetry: () => true } },
    foreignClaimOverwritten: {
        claims: {
            ...claimRules,
            applyOperation: (operation, existing) =>
                operation.kind === "claim"
                    ? { set: operation.record }
                    : claimRules.applyOperation(operation, existing),
        },
    },
    lostWriteNotFenced: { claims: { ...claimRules, fencesLostWrites: false } },
    sweptTooEarly: { sweep: { windowMilliseconds: 500, maximumRequestMilliseconds: 0 } },
    digestNotCompared: { claims: { ...claimRules, isSameCall: () => true } },
};

/** Proof that keyed calls run at most once, and that no call is reported as not run after it ran. */
export const claimsProof: Proof = {
    name: "claims",
    run: async options => {
        const { histories, failures, counts } = await searchClaims(options);
        const mutants = await searchMutants(claimMutants, searchClaims, options.seed);
        return { histories, failures, counts, mutants };
    },
};
