/** Generates arrivals of requests by subscriber, with bursts, from a seed. */
import { hashNumber } from "../../src/core/hashes.js";
import { createRandomGenerator, randomExponential } from "../../src/core/random-numbers.js";
import type { Caller } from "../../src/core/requests.js";

/** One request of a caller; `at` is the virtual time in milliseconds at which it is sent. */
export interface Arrival {
    readonly at: number;
    readonly id: string;
    readonly caller: Caller;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Prompt text that determines the cache blocks; absent if no other request shares a prefix with it. */
    readonly prompt?: string;
}

/** A subscriber's mean rate in requests per second. */
export interface SubscriberRate {
    readonly caller: Caller;
    readonly requestsPerSecond: number;
}

/** Mean prompt and answer lengths in tokens. */
export const meanPromptTokens = 512;
export const meanOutputTokens = 280;
/** Maximum output tokens of a request. */
export const maximumOutputTokens = 1_024;
const lengthDeviation = 0.6;

/** Rate factor of a launch week: 1.5 for ten seconds of each minute, otherwise 0.9; the mean is 1. */
export function burstFactor(time: number): number {
    return time % 60_000 < 10_000 ? 1.5 : 0.9;
}

const maximumFactor = 1.5;

/** Returns the arrivals of all subscribers until `end` (milliseconds), in order of time. */
export function createArrivals(
    rates: readonly SubscriberRate[],
    end: number,
    seed: number,
    factor: (time: number) => number = burstFactor,
): readonly Arrival[] {
    const arrivals = rates.flatMap((rate, index) =>
        arrivalsOf(rate, end, hashNumber(`${seed}/${index}`), factor),
    );
    return arrivals.sort((left, right) => left.at - right.at || (left.id < right.id ? -1 : 1));
}

function arrivalsOf(
    rate: SubscriberRate,
    end: number,
    seed: number,
    factor: (time: number) => number,
): readonly Arrival[] {
    const random = createRandomGenerator(seed);
    const arrivals: Arrival[] = [];
    const meanInterval = 1_000 / (rate.requestsPerSecond * maximumFactor);
    for (
        let at = randomExponential(meanInterval, random);
        at < end;
        at += randomExponential(meanInterval, random)
    ) {
        const isKept = random() * maximumFactor < factor(at);
        const promptTokens = lengthOf(meanPromptTokens, 4_096, random);
        const outputTokens = lengthOf(meanOutputTokens, maximumOutputTokens, random);
        if (isKept) {
            const id = `${rate.caller.team}/${rate.caller.subscriber}/${arrivals.length}`;
            arrivals.push({ at, id, caller: rate.caller, promptTokens, outputTokens });
        }
    }
    return arrivals;
}

/** A log-normal length with the given mean. */
function lengthOf(mean: number, maximum: number, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const median = mean * Math.exp(-(lengthDeviation ** 2) / 2);
    return Math.max(1, Math.min(maximum, Math.round(median * Math.exp(lengthDeviation * normal))));
}

/** Returns `count` equal subscribers of one team. */
export function equalSubscribers(
    team: string,
    count: number,
    requestsPerSecond: number,
): readonly SubscriberRate[] {
    return Array.from(Array(count).keys(), index => ({
        caller: { team, subscriber: `subscriber-${index}` },
        requestsPerSecond,
    }));
}
