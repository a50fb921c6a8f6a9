/** Seeded schedules of sequential and overlapping disturbances; equal seeds give equal schedules. */
import { createRandomGenerator, randomInteger } from "../../src/core/random-numbers.js";
import type { LinkFault } from "./proxies.js";
import type { ReplicaFault } from "./soak-replica.js";

/** One disturbance; `index` picks its target, `at` and `until` are milliseconds since the start of traffic. */
export type Disturbance = { readonly at: number; readonly until: number; readonly index: number } & (
    | {
          readonly kind:
              | "terminate"
              | "kill"
              | "pause"
              | "leave"
              | "replicaDown"
              | "publish"
              | "forget"
              | "restore"
              | "silence"
              | "slowRelay";
      }
    | { readonly kind: "store"; readonly fault: "busy" | "silent" | "losesWrites" }
    | { readonly kind: "storeLink" | "replicaLink"; readonly fault: LinkFault }
    | { readonly kind: "resetStoreLink" | "resetReplicaLink" }
    | { readonly kind: "replica"; readonly fault: ReplicaFault }
);

/** Kinds of the main sequence; regression seeds rely on their order. */
const kinds: readonly Disturbance["kind"][] = [
    "terminate",
    "kill",
    "pause",
    "leave",
    "replicaDown",
    "publish",
    "publish",
    "forget",
    "store",
    "storeLink",
    "replicaLink",
    "resetStoreLink",
    "resetReplicaLink",
    "replica",
    "replica",
];
const linkFaults: readonly LinkFault[] = ["delay", "silent", "requestsOnly", "answersOnly"];
const replicaFaults: readonly ReplicaFault[] = ["full", "loseAnswer", "breakStream", "fail", "answerTwice"];
const storeFaults = ["busy", "silent", "losesWrites"] as const;

/** Mean time between the starts of two disturbances, in milliseconds. */
const meanIntervalMilliseconds = 700;
const minimumDurationMilliseconds = 200;
const maximumDurationMilliseconds = 2_800;

/** Faults of responses without a length or chunks, which end with their connection. */
const unframedFaults: readonly ReplicaFault[] = ["unframed", "breakUnframed", "endInsideEvent"];
/** Mean time between two silences of a replica or changes of its framing, in milliseconds. */
const meanSilenceIntervalMilliseconds = 1_000;
const minimumSilenceMilliseconds = 500;
const maximumSilenceMilliseconds = 1_500;
/** Delays after a silence or a change of framing at which a series of configurations is published, in milliseconds. */
const publishDelaysMilliseconds = [0, 120, 400];
/** Added to the seed of the sequence of silences, which is drawn apart from the others. */
const silenceSeedOffset = 900_000;

/** Mean time between two restores of the store or pauses of a replica, in milliseconds. */
const meanRestoreIntervalMilliseconds = 2_500;
/** Added to the seed of the sequence of restores and pauses, which is drawn apart from the main sequence. */
const restoreSeedOffset = 500_000;

/** Returns restores of the store from older copies, and replicas that want no requests for a while. */
function createRestores(seed: number, milliseconds: number): readonly Disturbance[] {
    const random = createRandomGenerator(seed + restoreSeedOffset);
    const schedule: Disturbance[] = [];
    const nextDelay = (): number => randomInteger(500, 2 * meanRestoreIntervalMilliseconds, random);
    for (let at = nextDelay(); at < milliseconds; at += nextDelay()) {
        const until = at + randomInteger(minimumDurationMilliseconds, maximumDurationMilliseconds, random);
        const span = { at, until, index: randomInteger(0, 1_000, random) };
        const isRestore = random() < 0.5;
        schedule.push(
            isRestore ? { ...span, kind: "restore" } : { ...span, kind: "replica", fault: "pause" },
        );
    }
    return schedule;
}

/** Returns silences and unframed responses of replicas, some beside a series of configurations. */
function createSilences(seed: number, milliseconds: number): readonly Disturbance[] {
    const random = createRandomGenerator(seed + silenceSeedOffset);
    const schedule: Disturbance[] = [];
    const nextDelay = (): number => randomInteger(100, 2 * meanSilenceIntervalMilliseconds, random);
    for (let at = nextDelay(); at < milliseconds; at += nextDelay()) {
        const until = at + randomInteger(minimumSilenceMilliseconds, maximumSilenceMilliseconds, random);
        const span = { at, until, index: randomInteger(0, 1_000, random) };
        const fault = unframedFaults[randomInteger(0, 2 * unframedFaults.length - 1, random)];
        schedule.push(
            fault === undefined ? { ...span, kind: "silence" } : { ...span, kind: "replica", fault },
        );
        if (random() < 0.5) {
            publishDelaysMilliseconds.forEach(delay =>
                schedule.push({ ...span, at: at + delay, kind: "publish" }),
            );
        }
    }
    return schedule;
}

/** Intervals between configurations that are published beside slowed relays, in milliseconds. */
const minimumPublishIntervalMilliseconds = 700;
const maximumPublishIntervalMilliseconds = 900;
const minimumSlownessMilliseconds = 3_000;
const maximumSlownessMilliseconds = 7_000;

/** Returns relays of the store that are slowed, often both at once, while configurations come in quick succession. */
export function createRelayStalls(seed: number, milliseconds: number): readonly Disturbance[] {
    const random = createRandomGenerator(seed);
    const schedule: Disturbance[] = [];
    for (let at = 500; at < milliseconds;) {
        const until = at + randomInteger(minimumSlownessMilliseconds, maximumSlownessMilliseconds, random);
        const first = randomInteger(0, 1, random);
        schedule.push({ at, until, index: first, kind: "slowRelay" });
        if (random() < 0.7) {
            const delay = randomInteger(0, 900, random);
            schedule.push({ at: at + delay, until: until + delay, index: 1 - first, kind: "slowRelay" });
        }
        at = until + randomInteger(500, 3_000, random);
    }
    const nextPublish = (): number =>
        randomInteger(minimumPublishIntervalMilliseconds, maximumPublishIntervalMilliseconds, random);
    for (let at = nextPublish(); at < milliseconds; at += nextPublish()) {
        schedule.push({ at, until: at, index: 0, kind: "publish" });
    }
    return schedule;
}

export function createSchedule(seed: number, milliseconds: number): readonly Disturbance[] {
    const random = createRandomGenerator(seed);
    const pick = <T>(items: readonly T[]): T => items[randomInteger(0, items.length - 1, random)]!;
    const schedule: Disturbance[] = [];
    for (let at = 300; at < milliseconds; at += randomInteger(0, 2 * meanIntervalMilliseconds, random)) {
        const until = at + randomInteger(minimumDurationMilliseconds, maximumDurationMilliseconds, random);
        const index = randomInteger(0, 1_000, random);
        const span = { at, until, index };
        const kind = pick(kinds);
        switch (kind) {
            case "store":
                schedule.push({ ...span, kind, fault: pick(storeFaults) });
                break;
            case "storeLink":
            case "replicaLink":
                schedule.push({ ...span, kind, fault: pick(linkFaults) });
                break;
            case "replica":
                schedule.push({ ...span, kind, fault: pick(replicaFaults) });
                break;
            default:
                schedule.push({ ...span, kind });
        }
    }
    return [...schedule, ...createRestores(seed, milliseconds), ...createSilences(seed, milliseconds)];
}
