/** Fake callers: arrivals of requests by subscriber, with bursts, from a seed. */
import { hashNumber } from "../../src/core/hashes.js";
import { createRandomNumber, exponential } from "../../src/core/random-numbers.js";
import type { Caller } from "../../src/core/requests.js";

/** One request as a caller sends it. */
export interface Arrival {
    readonly at: number;
    readonly id: string;
    readonly caller: Caller;
    readonly promptTokens: number;
    readonly outputTokens: number;
    /** Text from which the prompt's blocks follow; absent for a prompt that no other shares. */
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
/** The most tokens that a caller asks for. */
export const mostOutputTokens = 1_024;
const lengthDeviation = 0.6;

/** Launch-week shape: once a minute ten seconds at 1.5 times the mean rate. Its mean is 1. */
export function burstFactor(time: number): number {
    return time % 60_000 < 10_000 ? 1.5 : 0.9;
}

const highestFactor = 1.5;

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
    const random = createRandomNumber(seed);
    const arrivals: Arrival[] = [];
    const meanInterval = 1_000 / (rate.requestsPerSecond * highestFactor);
    for (let at = exponential(meanInterval, random); at < end; at += exponential(meanInterval, random)) {
        const isKept = random() * highestFactor < factor(at);
        const promptTokens = lengthOf(meanPromptTokens, 4_096, random);
        const outputTokens = lengthOf(meanOutputTokens, mostOutputTokens, random);
        if (isKept) {
            const id = `${rate.caller.team}/${rate.caller.subscriber}/${arrivals.length}`;
            arrivals.push({ at, id, caller: rate.caller, promptTokens, outputTokens });
        }
    }
    return arrivals;
}

/** A log-normal length with the given mean. */
function lengthOf(mean: number, most: number, random: () => number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
    const median = mean * Math.exp(-(lengthDeviation ** 2) / 2);
    return Math.max(1, Math.min(most, Math.round(median * Math.exp(lengthDeviation * normal))));
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
