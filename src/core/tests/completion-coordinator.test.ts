import test from "ava";
import fc from "fast-check";
import type { EngineEvent } from "../../contracts/engines.js";
import { Admission } from "../admission.js";
import { defaultAnswerOptions } from "../answer-options.js";
import { CompletionCoordinator } from "../completion-coordinator.js";
import { noCrashGuard } from "../crash-guard.js";
import type { EntryCommand } from "../entry-commands.js";
import type { Fault } from "../errors.js";
import type { Instance } from "../instances.js";
import { createRandomGenerator } from "../random-numbers.js";
import type { ReplicaGroup } from "../replica-groups.js";
import type { CompletionRequest, RequestId } from "../requests.js";
import { RetryBudget } from "../retry-budget.js";
import { Router } from "../router.js";

const groups: readonly ReplicaGroup[] = ["g1", "g2"].map((id, index) => ({
    id,
    model: { model: "m", version: "1" },
    fabricDomain: "fabric-a",
    members: [`${id}-leader`, `${id}-member`],
    epoch: index + 1,
    state: "serving",
}));

function instance(id: string): Instance {
    return { id, address: "", failureDomain: "a", fabricDomain: "fabric-a", role: "engine", state: "live" };
}

function request(id: RequestId, deadline: number): CompletionRequest {
    const caller = { team: "t", subscriber: "s" };
    return { id, caller, model: "m", prompt: "p", promptTokens: 1, maximumTokens: 3, priority: 0, deadline };
}

interface Simulation {
    readonly core: CompletionCoordinator;
    readonly admission: Admission;
    readonly router: Router;
    readonly missing: Set<string>;
}

function createSimulation(): Simulation {
    const missing = new Set<string>();
    const random = createRandomGenerator(1);
    const isServing = (group: ReplicaGroup): boolean => !group.members.some(member => missing.has(member));
    const admission = Admission.create({ random });
    const router = Router.create({ entry: "e1", failureDomain: "a", isOpen: isServing, random });
    router.applyGroups(groups.map(group => ({ group, failureDomain: "a" })));
    groups.forEach(group => router.observe(group.id, { running: 0, waiting: 0, slots: 2 }, 0));
    const core = CompletionCoordinator.create({
        admission,
        router,
        retries: RetryBudget.create(),
        crashGuard: noCrashGuard,
        instanceOf: instance,
        missingMember: group => group.members.find(member => missing.has(member)),
        answerOptions: () => defaultAnswerOptions,
    });
    return { core, admission, router, missing };
}

const lost: Fault = { code: "endpointFailed", message: "lost", step: "stream", notRun: false };

/** Runs one script of actions; returns a description of the first violated property, or undefined. */
function runScript(script: readonly (readonly [number, number])[]): string | undefined {
    const simulation = createSimulation();
    const { core, missing } = simulation;
    const attempts = new Map<RequestId, { attempt: number; next: number; group: string }>();
    const delivered = new Map<RequestId, number>();
    const ends = new Map<RequestId, number>();
    let problem: string | undefined;
    let now = 0;
    const follow = (commands: readonly EntryCommand[]): void => {
        for (const command of commands) {
            if (command.kind === "start" || command.kind === "resume") {
                const { request: sent, attempt, fromOffset, group } = command.dispatch;
                attempts.set(sent.id, { attempt, next: fromOffset, group });
                if (groups.find(known => known.id === group)!.members.some(member => missing.has(member))) {
                    problem ??= `${sent.id} was sent to a group with a missing member`;
                }
            } else if (command.kind === "deliver") {
                problem ??=
                    command.offset === (delivered.get(command.request) ?? 0)
                        ? undefined
                        : "offset out of order";
                delivered.set(command.request, command.offset + 1);
            } else if (command.kind === "finish" || command.kind === "fail") {
                ends.set(command.request, (ends.get(command.request) ?? 0) + 1);
            }
        }
    };
    const emit = (id: RequestId, event: EngineEvent): void => {
        follow(core.handleEngineEvent(id, attempts.get(id)?.attempt ?? 0, event, now));
    };
    const actions: readonly ((id: RequestId, value: number) => void)[] = [
        id =>
            ends.has(id) ||
            delivered.has(id) ||
            attempts.has(id) ||
            follow(core.handleRequest(request(id, now + 60_000), { fromOffset: 0, delivered: "" }, now)),
        id => {
            const stream = attempts.get(id);
            if (stream !== undefined && stream.next < 3) {
                stream.next += 1;
                emit(id, { kind: "token", offset: stream.next - 1, text: "x " });
            }
        },
        id => attempts.get(id)?.next === 3 && emit(id, { kind: "finished", reason: "length", nextOffset: 3 }),
        id => emit(id, { kind: "failed", fault: lost }),
        (_, value) => missing.add(`g${1 + (value % 2)}-member`),
        () => missing.clear(),
        id => follow(core.recordDisconnect(id, now)),
        () => follow(core.tick(now)),
    ];
    for (const [kind, value] of script) {
        now += value % 40;
        actions[kind]!(`r${value % 5}`, value);
    }
    missing.clear();
    for (now += 60_001; core.size > 0 && now < 200_000; now += 1_000) {
        follow(core.tick(now));
    }
    problem ??= core.size > 0 ? "a request never ended" : undefined;
    problem ??= simulation.router.inFlight > 0 ? "a dispatch was not released" : undefined;
    problem ??=
        simulation.admission.started + simulation.admission.queued > 0
            ? "admission kept a request"
            : undefined;
    problem ??= [...ends.values()].some(count => count > 1) ? "a request ended twice" : undefined;
    return problem;
}

test("every request ends once and releases its group and its admission under any order of engine and caller events", t => {
    const step = fc.tuple(fc.nat({ max: 7 }), fc.nat({ max: 200 }));
    t.notThrows(() =>
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), script => {
                const problem = runScript(script);
                if (problem !== undefined) {
                    throw new Error(problem);
                }
            }),
            { seed: 1, numRuns: 500 },
        ),
    );
});

test("a request waits in admission while no serving gate is open, and is refused at its deadline", t => {
    const { core, missing } = createSimulation();
    groups.forEach(group => missing.add(group.members[0]!));
    const arrived = core.handleRequest(request("r1", 1_000), { fromOffset: 0, delivered: "" }, 0);
    t.true(arrived.some(command => command.kind === "record" && command.event.kind === "requestQueued"));
    const refused = core.tick(1_000).find(command => command.kind === "fail");
    t.true(refused?.kind === "fail" && refused.fault.notRun && refused.fault.retryAt !== undefined);
    t.is(core.size, 0);
});

test("a stream moves to another group when its group loses a member", t => {
    const { core, missing } = createSimulation();
    const start = core
        .handleRequest(request("r1", 60_000), { fromOffset: 0, delivered: "" }, 0)
        .find(command => command.kind === "start");
    const first = start?.kind === "start" ? start.dispatch : undefined;
    core.handleEngineEvent("r1", 1, { kind: "token", offset: 0, text: "a " }, 10);
    missing.add(`${first?.group}-member`);
    const moved = core.tick(20).find(command => command.kind === "start");
    t.true(moved?.kind === "start" && moved.dispatch.group !== first?.group);
    t.true(moved?.kind === "start" && moved.dispatch.delivered === "a " && moved.dispatch.fromOffset === 1);
});
