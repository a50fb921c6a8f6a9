/** Time of one admission and routing decision, by number of replicas, subscribers and queued requests. */
import { performance } from "node:perf_hooks";
import { Admission } from "../src/core/admission.js";
import { createRandomGenerator, randomInteger } from "../src/core/random-numbers.js";
import type { ReplicaGroup } from "../src/core/replica-groups.js";
import { Router } from "../src/core/router.js";
import type { Experiment } from "./experiment.js";
import { round } from "./fakes/figures.js";
import { createTeam } from "./fakes/team.js";

/** Microseconds of one decision at 600 replicas and 10,000 subscribers. */
const target = { decisionMicroseconds: 50 };
const decisions = 4_000;
const warmUpDecisions = 5_000;
const entries = 8;
const sharedPrompts = 200;
/** About 512 tokens: 8 whole blocks. */
const promptTokens = 512;

interface Size {
    readonly replicas: number;
    readonly subscribers: number;
    readonly queued: number;
}

const size: Size = { replicas: 600, subscribers: 10_000, queued: 2_000 };

interface DecisionContext {
    readonly admission: Admission;
    readonly router: Router;
    readonly random: () => number;
    readonly prompts: readonly string[];
    readonly gateCalls: { count: number };
}

function createContext({ replicas }: Size, seed: number): DecisionContext {
    const random = createRandomGenerator(seed);
    const admission = Admission.create({ random });
    admission.applyTeams([createTeam("team-0"), createTeam("team-1", 2), createTeam("team-2", 5, 1)]);
    const gateCalls = { count: 0 };
    const isOpen = (group: ReplicaGroup): boolean => {
        gateCalls.count += 1;
        return group.state === "serving";
    };
    const router = Router.create({ entry: "entry-0", failureDomain: "domain-0", isOpen, random });
    router.applyGroups([...Array(replicas).keys()].map(createRoutedGroup));
    router.applyEntries([...Array(entries).keys()].map(index => `entry-${index}`));
    for (const index of Array(replicas).keys()) {
        router.observe(`group-${index}`, { running: 60, waiting: 0, slots: 96 }, 0);
    }
    const prompts = [...Array(sharedPrompts).keys()].map(index => `prompt${index} `.repeat(promptTokens));
    return { admission, router, random, prompts, gateCalls };
}

function createRoutedGroup(index: number): { group: ReplicaGroup; failureDomain: string } {
    const model = { model: "model", version: "1" };
    const members = [...Array(8).keys()].map(member => `instance-${index}-${member}`);
    const group = {
        id: `group-${index}`,
        model,
        fabricDomain: "",
        members,
        epoch: 1,
        state: "serving" as const,
    };
    return { group, failureDomain: `domain-${index % 3}` };
}

function offer(context: DecisionContext, { subscribers }: Size, id: string, now: number): void {
    const number = randomInteger(0, subscribers - 1, context.random);
    const caller = { team: `team-${number % 3}`, subscriber: `subscriber-${number}` };
    const deadline = now + 120_000;
    context.admission.offer(
        { id, caller, model: "model", promptTokens, expectedTokens: 1_024, deadline, startBy: deadline },
        now,
    );
}

/** Admits one request, dispatches one and finishes one: the whole cost of a request on the event loop. */
function decide(context: DecisionContext, at: Size, index: number, running: string[]): void {
    const { admission, router, prompts, random } = context;
    const now = index;
    offer(context, at, `request-${index}`, now);
    let remainingCapacity = 1;
    const capacityOf = (model: string, borrowed: boolean): number => {
        const capacity = Math.min(remainingCapacity, router.capacity(model, borrowed, now));
        remainingCapacity = Math.min(remainingCapacity, capacity);
        return capacity;
    };
    for (const { id, borrowed } of admission.takeStartable(now, capacityOf)) {
        const prompt = prompts[randomInteger(0, prompts.length - 1, random)]!;
        const request = { id, model: "model", prompt, promptTokens, borrowed };
        const chosen = router.choose(request, now);
        if (chosen.success) {
            router.dispatched(request, chosen.data.group.id, now);
            running.push(id);
        }
    }
    router.progress(running[running.length - 1] ?? "", now);
    if (running.length > 500) {
        const ended = running.shift()!;
        router.finished(ended, now);
        admission.finish(ended, now);
    }
    admission.expire(now);
}

function measure(at: Size, seed: number): Record<string, number> {
    const context = createContext(at, seed);
    for (const index of Array(at.queued).keys()) {
        offer(context, at, `queued-${index}`, 0);
    }
    const running: string[] = [];
    const times: number[] = [];
    for (const index of Array(warmUpDecisions + decisions).keys()) {
        const start = performance.now();
        decide(context, at, index, running);
        if (index >= warmUpDecisions) {
            times.push((performance.now() - start) * 1_000);
        }
    }
    times.sort((left, right) => left - right);
    const mean = times.reduce((sum, time) => sum + time, 0) / times.length;
    return {
        ...at,
        meanMicroseconds: round(mean, 1),
        p50Microseconds: round(times[times.length >> 1]!, 1),
        p99Microseconds: round(times[Math.floor(times.length * 0.99)]!, 1),
        queuedAtEnd: context.admission.queued,
        gateCallsPerDecision: round(context.gateCalls.count / (warmUpDecisions + decisions), 1),
    };
}

export const decisionCost: Experiment = seed => {
    const measured = measure(size, seed);
    const growth = {
        replicas: [50, 150, 300, 600].map(replicas => measure({ ...size, replicas }, seed)),
        subscribers: [100, 1_000, 10_000].map(subscribers => measure({ ...size, subscribers }, seed)),
        queued: [0, 500, 2_000, 5_000].map(queued => measure({ ...size, queued }, seed)),
    };
    return {
        experiment: "decision-cost",
        seed,
        target,
        measured: { ...measured, growth },
        baseline: {},
        holds: measured["meanMicroseconds"]! <= target.decisionMicroseconds,
    };
};
