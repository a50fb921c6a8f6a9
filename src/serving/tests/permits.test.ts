import test from "ava";
import { PermitIssuer } from "../permit-issuer.js";
import type { PermitLoad } from "./permit-simulation.js";
import { simulatePermits } from "./permit-simulation.js";

const small = {
    entries: 6,
    expiryMilliseconds: 1_000,
    announceMilliseconds: 100,
    durationMilliseconds: 24_000,
};
const large = {
    entries: 195,
    expiryMilliseconds: 3_000,
    announceMilliseconds: 900,
    durationMilliseconds: 16_000,
};

const steady: Omit<PermitLoad, keyof typeof small> = {
    seed: 1,
    limitAt: () => 4.5,
    loadAt: () => 3,
    patienceMilliseconds: 300,
    lossFraction: 0.01,
    outages: [],
};

const cases: readonly [title: string, load: PermitLoad, leastUsed: number][] = [
    ["6 entry instances with more load than the limit", { ...small, ...steady }, 0.85],
    ["195 entry instances, far less than one request a second for each", { ...large, ...steady }, 0.85],
    [
        "195 entry instances that receive a burst at once",
        { ...large, ...steady, loadAt: burstAt(12_000) },
        0.8,
    ],
    ["6 entry instances that receive a burst at once", { ...small, ...steady, loadAt: burstAt(12_000) }, 0.8],
    [
        "load at one of 6 entry instances only",
        { ...small, ...steady, loadAt: entry => (entry === 2 ? 20 : 0) },
        0.85,
    ],
    [
        "load at one of 195 entry instances only",
        { ...large, ...steady, loadAt: entry => (entry === 7 ? 20 : 0) },
        0.85,
    ],
    ["requests that cannot wait", { ...small, ...steady, patienceMilliseconds: 0 }, 0.6],
    ["a limit of one request in four seconds", { ...small, ...steady, limitAt: () => 0.25 }, 0.7],
    [
        "a limit that rises and falls",
        { ...small, ...steady, limitAt: now => (now % 8_000 < 4_000 ? 12 : 3) },
        0.8,
    ],
    ["three in ten datagrams lost", { ...small, ...steady, lossFraction: 0.3 }, 0.5],
    ["entry instances that freeze", { ...small, ...steady, outages: outages("frozen", 3, 3_000) }, 0.7],
    ["entry instances that start again", { ...small, ...steady, outages: outages("down", 3, 2_000) }, 0.7],
    ["entry instances that are cut off", { ...small, ...steady, outages: outages("cut", 3, 5_000) }, 0.7],
    [
        "195 entry instances of which twenty freeze",
        { ...large, ...steady, outages: outages("frozen", 20, 4_000) },
        0.6,
    ],
];

/** Adds 60 requests of each of 6 entry instances, or two of each of 195, within 100 ms. */
function burstAt(from: number): PermitLoad["loadAt"] {
    return (entry, now) => 1 + (now >= from && now < from + 100 ? (entry < 6 ? 600 : 20) : 0);
}

/** Outages of the first entry instances, one after the other and overlapping. */
function outages(
    kind: "frozen" | "cut" | "down",
    count: number,
    milliseconds: number,
): PermitLoad["outages"] {
    return Array.from({ length: count }, (_, entry) => {
        const from = 6_000 + Math.floor((entry * 9_000) / count);
        return { entry, from, until: from + milliseconds, kind };
    });
}

for (const [title, load, leastUsed] of cases) {
    test(`a limited replica gets what it takes and no more: ${title}`, t => {
        for (let seed = 1; seed <= (load.entries > 10 ? 1 : 6); seed += 1) {
            const { excess, usedFraction, overdue } = simulatePermits({ ...load, seed });
            t.true(excess <= 0, `seed ${seed}: ${excess} more than allowed in a window`);
            t.true(usedFraction >= leastUsed, `seed ${seed}: ${usedFraction} of the limit used`);
            t.is(overdue, 0, `seed ${seed}`);
        }
    });
}

test("a denied request learns when the next permit starts, and a higher rate shortens the wait", t => {
    const issuer = PermitIssuer.create();
    const first = { rank: 0, isHandover: false };
    const question = { replica: "r 1", requestsPerSecond: 2, patienceMilliseconds: 0 };
    t.is(issuer.issue(question, first, 0).kind, "granted");
    t.is(issuer.issue(question, first, 0).kind, "granted");
    t.deepEqual(issuer.issue(question, first, 100), { kind: "denied", nextMilliseconds: 400 });
    const faster = { ...question, requestsPerSecond: 8 };
    t.deepEqual(issuer.issue(faster, first, 100), { kind: "denied", nextMilliseconds: 100 });
    t.deepEqual(issuer.issue({ ...faster, patienceMilliseconds: 150 }, first, 100), {
        kind: "granted",
        delayMilliseconds: 100,
        nextMilliseconds: 225,
    });
});

test("issuers of all ranks together issue less than one and a half times the rate", t => {
    const issuers = [0, 1, 2, 3].map(rank => ({ rank, issuer: PermitIssuer.create() }));
    let granted = 0;
    for (let now = 0; now < 100_000; now += 10) {
        for (const { rank, issuer } of issuers) {
            const question = { replica: "r 1", requestsPerSecond: 4, patienceMilliseconds: 0 };
            const reply = issuer.issue(question, { rank, isHandover: false }, now);
            granted += reply.kind === "granted" ? 1 : 0;
        }
    }
    t.true(granted <= 1.5 * 4 * 100, `${granted}`);
});
