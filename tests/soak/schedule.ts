/** Seeded schedules of sequential and overlapping disturbances; equal seeds give equal schedules. */
import { createRandomGenerator, randomInteger } from "../../src/core/random-numbers.js";
import type { LinkFault } from "./proxies.js";
import type { ReplicaFault } from "./soak-replica.js";

/** One disturbance; `index` picks its target, `at` and `until` are milliseconds since the start of traffic. */
export type Disturbance = { readonly at: number; readonly until: number; readonly index: number } & (
    | { readonly kind: "terminate" | "kill" | "pause" | "leave" | "replicaDown" | "publish" | "forget" }
    | { readonly kind: "store"; readonly fault: "busy" | "silent" | "losesWrites" }
    | { readonly kind: "storeLink" | "replicaLink"; readonly fault: LinkFault }
    | { readonly kind: "resetStoreLink" | "resetReplicaLink" }
    | { readonly kind: "replica"; readonly fault: ReplicaFault }
);

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
    return schedule;
}
