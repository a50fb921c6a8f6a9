import test from "ava";
import { createRandomGenerator } from "../../core/random-numbers.js";
import type { CrashEvidence, CrashSubject } from "../crash-attribution.js";
import { CrashAttribution } from "../crash-attribution.js";
import { requestTrait, resourceTrait } from "../crash-causes.js";
import { fleetTimingOf } from "../fleet-timing.js";

/** Step of the virtual time, in milliseconds. */
const step = 10;
const engineDownMilliseconds = 4_000;
/** Time from the start of a request at an engine to its first event, and from then to its end, in milliseconds. */
const waitMilliseconds = 250;
const streamMilliseconds = 600;
const bounds = { configurationMilliseconds: 2_000, leavingMilliseconds: 2_000, toleranceMilliseconds: 3_000 };

interface Scenario {
    readonly seed: number;
    readonly entries: number;
    readonly engines: number;
    readonly soundPerSecond: number;
    /** Different requests with the crashing segment. */
    readonly crashingPerSecond: number;
    /** Repetitions of one crashing request, whose segment other requests share. */
    readonly repeatedPerSecond?: number;
    readonly crashesShowHead: boolean;
    readonly lossFraction: number;
    /** Engines that crash by themselves at a time. */
    readonly otherCrashes?: (now: number) => readonly number[];
}

interface Running extends CrashSubject {
    readonly entry: number;
    readonly sentAt: number;
    readonly attempts: number;
    readonly crashes: boolean;
}

interface Outcome {
    /** Crashing requests that reached engines later than 3 s after the fifth crash. */
    readonly lateSends: number;
    readonly crashes: number;
    readonly wrongQuarantines: readonly string[];
    readonly served: number;
    readonly refusedSound: number;
}

function simulate(scenario: Scenario): Outcome {
    const { entries, engines, lossFraction } = scenario;
    const random = createRandomGenerator(scenario.seed);
    const timing = fleetTimingOf(entries, bounds);
    const hasChange = new Set<number>();
    const wrong = new Set<string>();
    const repeated = requestTrait("repeated");
    const isWrong = (traits: readonly string[]): boolean =>
        !traits.includes("bad") && !traits.includes(repeated);
    const processes = Array.from({ length: entries }, (_, index) =>
        CrashAttribution.create({
            random,
            clearanceSpreadMilliseconds: () => timing.probeSpreadMilliseconds,
            onQuarantine: traits => isWrong(traits) && wrong.add(traits.join()),
            onQuarantineEnd: () => undefined,
            onChange: () => hasChange.add(index),
        }),
    );
    const nextRegularAt = processes.map(() => random() * timing.peerIntervalMilliseconds);
    const datagrams = new Map<number, { from: number; to: number; evidence: CrashEvidence }[]>();
    const running: Running[][] = Array.from({ length: engines }, () => []);
    const upAt = Array.from({ length: engines }, () => 0);
    const starts = Array.from({ length: engines }, () => 0);
    let [lateSends, crashes, served, refusedSound, lastRequest] = [0, 0, 0, 0, 0];
    let fifthCrashAt = Infinity;
    const send = (each: Omit<Running, "sentAt">, now: number): void => {
        if (processes[each.entry]!.recordRequest(each, now) !== undefined) {
            refusedSound += each.crashes ? 0 : 1;
            return;
        }
        const up = upAt.flatMap((at, engine) => (at <= now ? [engine] : []));
        if (up.length > 0) {
            lateSends += each.crashes && now > fifthCrashAt + 3_000 ? 1 : 0;
            running[up[Math.floor(random() * up.length)]!]!.push({ ...each, sentAt: now });
        }
    };
    const crash = (engine: number, culprit: Running | undefined, now: number): void => {
        const lost = running[engine]!.splice(0);
        const start = `${engine} ${starts[engine]}`;
        starts[engine]! += 1;
        upAt[engine] = now + engineDownMilliseconds;
        crashes += 1;
        fifthCrashAt = crashes === 5 ? now : fifthCrashAt;
        for (const each of lost) {
            const process = processes[each.entry]!;
            if (now - each.sentAt <= waitMilliseconds) {
                const hasHead = scenario.crashesShowHead && each === culprit;
                process.recordCrash(each, start, hasHead ? "head" : "none", now);
            } else if (each.attempts === 1) {
                process.recordCrash(each, start, "advanced", now);
            }
            if (each.attempts < 2 && !process.isSuspect(each, now)) {
                send({ ...each, attempts: each.attempts + 1 }, now);
            }
        }
    };
    for (let now = 0; now < 25_000; now += step) {
        for (const { from, to, evidence } of datagrams.get(now) ?? []) {
            processes[to]!.apply(String(from), evidence, now);
        }
        datagrams.delete(now);
        scenario.otherCrashes?.(now).forEach(engine => upAt[engine]! <= now && crash(engine, undefined, now));
        const arrive = (kind: "sound" | "segment" | "repeated"): void => {
            lastRequest += 1;
            const hash = kind === "repeated" ? "repeated" : `r${lastRequest}`;
            const rare = `d${Math.floor(300 * random() ** 3)}`;
            const common = `c${kind === "repeated" ? 0 : Math.floor(4 * random())}`;
            send(
                {
                    request: requestTrait(hash),
                    resource: resourceTrait(hash),
                    entry: Math.floor(random() * entries),
                    segments: [common, kind === "segment" ? "bad" : kind === "repeated" ? "d0" : rare],
                    attempts: 1,
                    crashes: kind !== "sound",
                },
                now,
            );
        };
        const perStep = (rate: number): number =>
            Math.floor((rate * step) / 1000) + (random() < ((rate * step) / 1000) % 1 ? 1 : 0);
        for (let count = perStep(scenario.soundPerSecond); count > 0; count -= 1) {
            arrive("sound");
        }
        for (let count = now < 4_000 ? 0 : perStep(scenario.crashingPerSecond); count > 0; count -= 1) {
            arrive("segment");
        }
        const repetitions = now < 4_000 ? 0 : perStep(scenario.repeatedPerSecond ?? 0);
        for (let count = repetitions; count > 0; count -= 1) {
            arrive("repeated");
        }
        for (let engine = 0; engine < engines; engine += 1) {
            const culprit = running[engine]!.find(
                each => each.crashes && now - each.sentAt >= waitMilliseconds,
            );
            if (culprit !== undefined) {
                crash(engine, culprit, now);
            }
            running[engine] = running[engine]!.filter(each => {
                const isComplete = now - each.sentAt >= waitMilliseconds + streamMilliseconds;
                if (isComplete) {
                    served += 1;
                    processes[each.entry]!.recordSound(each, now);
                }
                return !isComplete;
            });
        }
        processes.forEach((process, from) => {
            if (now % 50 === 0 || hasChange.has(from)) {
                process.tick(now);
            }
            const isRegular = now >= nextRegularAt[from]!;
            if (!isRegular && !hasChange.has(from)) {
                return;
            }
            hasChange.delete(from);
            const interval = timing.peerIntervalMilliseconds * timing.datagramsPerFarDatagram;
            nextRegularAt[from] = now + interval;
            const evidence = process.announcement(now);
            const isEmpty = Object.values(evidence).every(list => (list as readonly unknown[]).length === 0);
            for (let to = 0; to < entries && !isEmpty; to += 1) {
                if (to !== from && random() >= lossFraction) {
                    const at = now + step * (1 + Math.floor(4 * random()));
                    datagrams.set(at, [...(datagrams.get(at) ?? []), { from, to, evidence }]);
                }
            }
        });
    }
    return { lateSends, crashes, wrongQuarantines: [...wrong], served, refusedSound };
}

const sizes = [
    { entries: 6, engines: 12, soundPerSecond: 60 },
    { entries: 30, engines: 40, soundPerSecond: 200 },
    { entries: 195, engines: 100, soundPerSecond: 500 },
    { entries: 390, engines: 150, soundPerSecond: 600 },
];

for (const size of sizes) {
    const seeds = size.entries > 100 ? [1] : size.entries > 6 ? [1, 2] : [1, 2, 3, 4];
    for (const crashesShowHead of size.entries > 100 ? [false] : [true, false]) {
        test(`a crashing segment among sound ones at ${size.entries} entry instances, heads ${crashesShowHead}`, t => {
            for (const seed of seeds) {
                const scenario = { ...size, seed, crashesShowHead, lossFraction: 0.1 };
                const outcome = simulate({ ...scenario, crashingPerSecond: 5 });
                const calm = simulate({ ...scenario, crashingPerSecond: 0 });
                t.log(JSON.stringify({ seed, ...outcome, calm: calm.served }));
                t.true(outcome.lateSends <= 3);
                t.deepEqual(outcome.wrongQuarantines, []);
                t.is(outcome.refusedSound, 0);
                t.true(outcome.served > 0.75 * calm.served);
            }
        });
    }
    test(`crashes without a crashing segment quarantine nothing at ${size.entries} entry instances`, t => {
        const third = Math.floor(size.engines / 3);
        const domain = Array.from({ length: third }, (_, index) => index);
        const otherCrashes = (now: number): readonly number[] => {
            if (now % 6_000 === 3_000) {
                return domain;
            }
            return now > 12_000 && now % 300 === 0 ? [third + ((now / 300) % (size.engines - third))] : [];
        };
        for (const seed of seeds) {
            const scenario = { ...size, seed, crashesShowHead: false, lossFraction: 0.1 };
            const outcome = simulate({ ...scenario, crashingPerSecond: 0, otherCrashes });
            t.log(JSON.stringify({ seed, ...outcome }));
            t.deepEqual(outcome.wrongQuarantines, []);
            t.is(outcome.refusedSound, 0);
        }
    });
}

for (const size of sizes) {
    for (const [repeatedPerSecond, crashingPerSecond] of [
        [2, 0],
        [0.5, 0],
        [2, 5],
    ] as const) {
        test(`one request repeated ${repeatedPerSecond} times per second at ${size.entries} entry instances, beside ${crashingPerSecond} with a crashing segment`, t => {
            for (const seed of size.entries > 100 ? [1] : [1, 2, 3]) {
                const scenario = { ...size, seed, crashesShowHead: false, lossFraction: 0.1 };
                const outcome = simulate({ ...scenario, crashingPerSecond, repeatedPerSecond });
                t.log(JSON.stringify({ seed, ...outcome }));
                t.true(outcome.lateSends <= (crashingPerSecond > 0 ? 6 : 3));
                t.deepEqual(outcome.wrongQuarantines, []);
                t.is(outcome.refusedSound, 0);
            }
        });
    }
}

for (const crashingPerSecond of [0.5, 20]) {
    for (const lossFraction of [0.1, 0.6]) {
        test(`${crashingPerSecond} crashing requests per second, ${lossFraction} of the datagrams lost`, t => {
            const scenario = { ...sizes[0]!, seed: 11, crashesShowHead: false, lossFraction };
            const outcome = simulate({ ...scenario, crashingPerSecond });
            t.log(JSON.stringify(outcome));
            t.true(outcome.lateSends <= 3);
            t.deepEqual(outcome.wrongQuarantines, []);
        });
    }
}
