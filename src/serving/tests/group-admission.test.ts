import test from "ava";

import { createRandomGenerator } from "../../core/random-numbers.js";
import { estimateFirstEventMilliseconds, estimateStepMilliseconds } from "../engine-model.js";
import type { Admission, AdmissionFacts } from "../group-admission.js";
import { admitAll, decideAdmission } from "../group-admission.js";
import { InFlightRequests } from "../in-flight-requests.js";
import { profile } from "./simulated-fleet.js";

const model = profile.models[1]!;
const group = "g";
const promptTokens = 700;
const objectiveMilliseconds = 300;
const patienceMilliseconds = 2_000;
const stepMilliseconds = 5;
const streamMilliseconds =
    profile.usualAnswerTokens * estimateStepMilliseconds(profile, model, profile.slots);

interface Waiting {
    readonly arrivedAt: number;
    readonly flight: number;
    readonly isDeferred: boolean;
    readonly isSecondTry: boolean;
}

interface Outcome {
    readonly callers: number;
    readonly inTime: number;
    readonly served: number;
    /** Callers that received neither an event nor a Retry-After. */
    readonly abandoned: number;
}

/** Simulates one replica group with `load` times the requests that it can serve; refused callers retry once. */
function play(admit: (facts: AdmissionFacts) => Admission, load: number, random: () => number): Outcome {
    const flights = InFlightRequests.create();
    const endMilliseconds = 30_000;
    const arrivalsPerStep = (load * profile.slots * stepMilliseconds) / streamMilliseconds;
    let waiting: Waiting[] = [];
    let running: { readonly flight: number; readonly endsAt: number }[] = [];
    let retrying: { readonly at: number }[] = [];
    let callers = 0;
    let inTime = 0;
    let served = 0;
    let abandoned = 0;
    const arrive = (now: number, isSecondTry: boolean): void => {
        const { urgent, all } = flights.backlogOf(group, now);
        const admission = admit({
            urgentMilliseconds: estimateFirstEventMilliseconds(profile, model, urgent, promptTokens),
            deferredMilliseconds: estimateFirstEventMilliseconds(profile, model, all, promptTokens),
            objectiveMilliseconds,
            firstEventTimeoutMilliseconds: patienceMilliseconds,
        });
        if (admission.kind === "refused") {
            if (!isSecondTry) {
                retrying.push({ at: now + admission.retryAfterMilliseconds });
            }
            return;
        }
        const isDeferred = admission.kind === "deferred";
        const inFlightId = flights.start(group, promptTokens, now, isDeferred);
        waiting.push({ arrivedAt: now, flight: inFlightId, isDeferred, isSecondTry });
    };
    for (let now = 0; now < endMilliseconds; now += stepMilliseconds) {
        running.filter(each => each.endsAt <= now).forEach(each => flights.end(group, each.flight));
        running = running.filter(each => each.endsAt > now);
        const timedOut = waiting.filter(each => now - each.arrivedAt > patienceMilliseconds);
        timedOut.forEach(each => flights.end(group, each.flight));
        abandoned += timedOut.length;
        waiting = waiting.filter(each => !timedOut.includes(each));
        const due = retrying.filter(each => each.at <= now);
        retrying = retrying.filter(each => each.at > now);
        due.forEach(() => arrive(now, true));
        if (random() < arrivalsPerStep) {
            callers += 1;
            arrive(now, false);
        }
        waiting.sort(
            (one, other) =>
                Number(one.isDeferred) - Number(other.isDeferred) || one.arrivedAt - other.arrivedAt,
        );
        while (running.length < profile.slots && waiting.length > 0) {
            const next = waiting.shift()!;
            flights.recordProgress(group, next.flight, now);
            running.push({ flight: next.flight, endsAt: now + streamMilliseconds * (0.3 + 1.4 * random()) });
            served += 1;
            inTime += !next.isSecondTry && now - next.arrivedAt <= objectiveMilliseconds ? 1 : 0;
        }
    }
    return { callers, inTime, served, abandoned };
}

test("under overload, most served requests are in time, and as many are served as without admission control", t => {
    for (const load of [1.2, 1.6, 2.5]) {
        const plain = play(admitAll, load, createRandomGenerator(7));
        const decided = play(decideAdmission, load, createRandomGenerator(7));
        t.true(decided.inTime > 0.5 * decided.served, `${load}: ${JSON.stringify({ plain, decided })}`);
        t.true(decided.inTime > 2 * plain.inTime, `${load}: ${JSON.stringify({ plain, decided })}`);
        t.true(decided.served > 0.95 * plain.served, `${load}: ${JSON.stringify({ plain, decided })}`);
        t.true(decided.abandoned <= plain.abandoned, `${load}: ${JSON.stringify({ plain, decided })}`);
    }
});

test("requests that the group can serve in time are neither deferred nor refused", t => {
    const plain = play(admitAll, 0.7, createRandomGenerator(8));
    const decided = play(decideAdmission, 0.7, createRandomGenerator(8));
    t.true(decided.inTime >= 0.98 * plain.inTime, JSON.stringify({ plain, decided }));
    t.is(decided.abandoned, 0);
});

test("a refused caller is asked to retry after the backlog has shrunk", t => {
    const facts = {
        urgentMilliseconds: 900,
        objectiveMilliseconds: 300,
        firstEventTimeoutMilliseconds: 2_000,
    };
    const admission = decideAdmission({ ...facts, deferredMilliseconds: 2_300 });
    t.deepEqual(admission, { kind: "refused", retryAfterMilliseconds: 2_000 });
    t.deepEqual(decideAdmission({ ...facts, deferredMilliseconds: 700 }), { kind: "deferred" });
});
