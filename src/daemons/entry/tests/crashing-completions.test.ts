import test from "ava";
import type { ExecutionContext } from "ava";
import { NEVER } from "rxjs";
import type { EngineEvent } from "../../../contracts/engines.js";
import { Admission } from "../../../core/admission.js";
import { defaultAnswerOptions } from "../../../core/answer-options.js";
import { CompletionCoordinator } from "../../../core/completion-coordinator.js";
import type { EntryCommand } from "../../../core/entry-commands.js";
import type { Fault } from "../../../core/errors.js";
import type { Instance } from "../../../core/instances.js";
import { createRandomGenerator } from "../../../core/random-numbers.js";
import type { ReplicaGroup } from "../../../core/replica-groups.js";
import { RetryBudget } from "../../../core/retry-budget.js";
import { Router } from "../../../core/router.js";
import type { RunningCrashGuard } from "../crash-guard.js";
import { startCrashGuard } from "../crash-guard.js";

const restartMilliseconds = 600;
const repeatIntervalMilliseconds = 400;
const stepMilliseconds = 10;
const groups: readonly ReplicaGroup[] = ["g1", "g2", "g3", "g4"].map((id, index) => ({
    id,
    model: { model: "m", version: "1" },
    fabricDomain: "fabric-a",
    members: [`${id}-leader`],
    epoch: index + 1,
    state: "serving",
}));
const instanceOf = (id: string): Instance => ({
    id,
    address: "",
    failureDomain: "a",
    fabricDomain: "fabric-a",
    role: "engine",
    state: "live",
});
const lost: Fault = {
    code: "endpointFailed",
    message: "socket hang up",
    step: "stream",
    notRun: false,
    connectionLost: true,
};

/** One entry process in virtual time, with engines that crash when they have run the prompt "crash" for a time. */
class Simulation {
    public now = 0;
    public readonly crashedAt: number[] = [];
    public readonly faults: Fault[] = [];
    public finished = 0;
    private readonly downUntil = new Map<string, number>();
    private readonly incarnations = new Map<string, number>();
    private due: { readonly at: number; readonly run: () => void }[] = [];
    private readonly core: CompletionCoordinator;
    private readonly guard: RunningCrashGuard;

    private constructor(private readonly runMilliseconds: number) {
        const random = createRandomGenerator(1);
        const isDown = (id: string): boolean => this.now < (this.downUntil.get(id) ?? 0);
        const missingMember = ({ members }: ReplicaGroup): string | undefined => members.find(isDown);
        const router = Router.create({
            entry: "e1",
            failureDomain: "a",
            isOpen: group => missingMember(group) === undefined,
            random,
        });
        router.applyGroups(groups.map(group => ({ group, failureDomain: "a" })));
        groups.forEach(({ id }) => router.observe(id, { running: 0, waiting: 0, slots: 4 }, 0));
        this.guard = startCrashGuard({
            clock: { monotonicMilliseconds: () => this.now, wallMilliseconds: () => this.now },
            incarnationOf: id => this.incarnations.get(id),
            random,
            onQuarantine: () => undefined,
            publish: () => undefined,
            peers: NEVER,
        });
        this.core = CompletionCoordinator.create({
            admission: Admission.create({ random }),
            router,
            retries: RetryBudget.create(),
            crashGuard: this.guard,
            instanceOf,
            missingMember,
            answerOptions: () => defaultAnswerOptions,
        });
    }

    public static create(t: ExecutionContext, runMilliseconds: number): Simulation {
        const simulation = new Simulation(runMilliseconds);
        t.teardown(() => simulation.guard.close());
        return simulation;
    }

    public arrive(id: string, prompt: string): void {
        const request = {
            id,
            caller: { team: "t", subscriber: "s" },
            model: "m",
            prompt,
            promptTokens: 1,
            maximumTokens: 1,
            priority: 0,
            deadline: this.now + 20_000,
        };
        this.follow(this.core.handleRequest(request, { fromOffset: 0, delivered: "" }, this.now));
    }

    public runUntil(end: number): void {
        for (; this.now < end; this.now += stepMilliseconds) {
            const [ready, later] = [true, false].map(isReady =>
                this.due.filter(({ at }) => at <= this.now === isReady),
            );
            this.due = later!;
            ready!.forEach(({ run }) => run());
            this.follow(this.core.tick(this.now));
        }
    }

    private follow(commands: readonly EntryCommand[]): void {
        for (const command of commands) {
            if (command.kind === "start" || command.kind === "resume") {
                this.dispatch(command);
            } else if (command.kind === "fail") {
                this.faults.push(command.fault);
            } else if (command.kind === "finish") {
                this.finished += 1;
            }
        }
    }

    private dispatch({ kind, dispatch }: Extract<EntryCommand, { kind: "start" | "resume" }>): void {
        const { request, attempt, leader } = dispatch;
        const emit = (event: EngineEvent): void =>
            this.follow(this.core.handleEngineEvent(request.id, attempt, event, this.now));
        const incarnation = this.incarnations.get(leader.id) ?? 0;
        const end = (): void => {
            if (kind === "resume") {
                const fault = { ...lost, code: "notFound", connectionLost: false, notRun: true } as const;
                emit({ kind: "failed", fault });
            } else if (incarnation !== (this.incarnations.get(leader.id) ?? 0)) {
                emit({ kind: "failed", fault: lost });
            } else if (request.prompt === "crash") {
                this.crashedAt.push(this.now);
                this.incarnations.set(leader.id, incarnation + 1);
                this.downUntil.set(leader.id, this.now + restartMilliseconds);
                emit({ kind: "failed", fault: lost });
            } else {
                emit({ kind: "token", offset: 0, text: "x" });
                emit({ kind: "finished", reason: "length", nextOffset: 1 });
            }
        };
        const duration = kind === "resume" ? stepMilliseconds : this.runMilliseconds;
        this.due.push({ at: this.now + duration, run: end });
    }
}

for (const runMilliseconds of [50, 2_000]) {
    test(`repeats of a prompt that crashes each engine after ${runMilliseconds} ms stop to reach engines`, t => {
        const simulation = Simulation.create(t, runMilliseconds);
        for (let repeat = 0; repeat < 60; repeat += 1) {
            simulation.arrive(`bad-${repeat}`, "crash");
            simulation.runUntil(simulation.now + repeatIntervalMilliseconds);
        }
        simulation.runUntil(simulation.now + 30_000);
        const { crashedAt, faults } = simulation;
        const windowEndsAt = crashedAt[2]! + runMilliseconds + 1_000;
        const later = crashedAt.filter(at => at > windowEndsAt).length;
        t.true(later <= 3, `${later} of ${crashedAt.length} crashes after the third and the window`);
        t.is(faults.length, 60);
        simulation.arrive("sound", "other");
        simulation.runUntil(simulation.now + 5_000);
        t.is(simulation.finished, 1);
    });
}

test("one arrival of a prompt that crashes each engine stops at the third crash", t => {
    const simulation = Simulation.create(t, 2_000);
    simulation.arrive("bad", "crash");
    simulation.runUntil(60_000);
    t.true(simulation.crashedAt.length <= 3, `${simulation.crashedAt.length} crashes`);
    t.is(simulation.faults.length, 1);
});

test("a sound request that is lost in three crashes of other causes is answered, and is not quarantined", t => {
    const simulation = Simulation.create(t, 300);
    for (let repeat = 0; repeat < 4; repeat += 1) {
        simulation.arrive(`bad-${repeat}`, "crash");
        simulation.arrive(`sound-${repeat}`, "other");
        simulation.runUntil(simulation.now + 2_000);
    }
    simulation.runUntil(simulation.now + 10_000);
    t.is(simulation.finished, 4);
});
