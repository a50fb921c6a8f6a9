import { targetId } from "../dispatcher.js";
import test from "ava";
import * as fc from "fast-check";
import type { AttemptOutcome } from "../attempt-decision.js";
import type {
    AttemptCommand,
    AttemptConditions,
    AttemptEvent,
    AttemptSequence,
    ChoicePurpose,
} from "../attempt-sequence.js";
import { advanceAttempts, countPossibleRuns, noAttempts } from "../attempt-sequence.js";
import type { DispatchChoice } from "../dispatcher.js";
import { groupMember } from "./fleet-fixtures.js";

const conditions: AttemptConditions = {
    repeatability: "stream",
    isResumable: true,
    maximumAttempts: 3,
    hasBegunResponse: false,
    remainingMilliseconds: 1_000,
    hasRetryBudget: true,
    mayCrashAnotherReplica: false,
};
const begun: AttemptConditions = { ...conditions, hasBegunResponse: true };
const silence = { kind: "silenceChecked", attempt: 1, isDoubtful: true, conditions } as const;
const slow = { kind: "slow", attempt: 1, extensionMilliseconds: 0, conditions } as const;

function targetOf(group: string): Extract<DispatchChoice, { readonly kind: "target" }> {
    const target = {
        instance: groupMember(group, 0),
        group,
        model: "small",
        expectedMilliseconds: 10,
        fleetRevision: 1,
        isDeferred: false,
    };
    return { kind: "target", target };
}

function chosen(purpose: ChoicePurpose, choice: DispatchChoice, hasBegunResponse = false): AttemptEvent {
    return { kind: "chosen", purpose, choice, hasBegunResponse };
}

function started(group: string, isBeside = false): AttemptEvent {
    return { kind: "started", isBeside, instance: `${group}-0` };
}

function ended(attempt: number, outcome: AttemptOutcome, facts = conditions): AttemptEvent {
    return { kind: "ended", attempt, outcome, reason: "broken", conditions: facts, runs: 1 };
}

function after(...events: readonly AttemptEvent[]): AttemptSequence {
    return events.reduce((state, event) => advanceAttempts(state, event).state, noAttempts);
}

const one = after(started("a"));
/** Attempt 1 at the silent group "a", attempt 2 at the group "b". */
const two = after(started("a"), started("b", true), { kind: "written", attempt: 2 });

test("a silent replica is tried elsewhere only when it is doubtful, silent long enough and another one takes the request", t => {
    const silent = { ...silence, silentMilliseconds: 130 };
    t.deepEqual(advanceAttempts(one, { ...silent, isDoubtful: false }).commands, []);
    t.deepEqual(advanceAttempts(one, { ...silent, attempt: 2 }).commands, []);
    const wait: AttemptCommand = { kind: "checkSilenceAfter", attempt: 1, milliseconds: 40 };
    t.deepEqual(advanceAttempts(one, { ...silent, silentMilliseconds: 129 }).commands, [wait]);
    const withoutBudget = { ...conditions, hasRetryBudget: false };
    t.deepEqual(advanceAttempts(one, { ...silent, conditions: withoutBudget }).commands, [wait]);
    t.deepEqual(advanceAttempts(one, silent).commands, [{ kind: "choose", purpose: "beside" }]);
    t.deepEqual(advanceAttempts(one, chosen("beside", targetOf("a"))).commands, [wait]);
    t.deepEqual(advanceAttempts(one, chosen("beside", { kind: "none" })).commands, [wait]);
    const { target } = targetOf("b");
    t.deepEqual(advanceAttempts(one, chosen("beside", targetOf("b"))).commands, [
        { kind: "start", isBeside: true, target },
    ]);
    t.is(two.current?.number, 2);
    t.is(two.silent?.number, 1);
    t.is(countPossibleRuns(two), 1);
});

test("a retry budget that runs out between the choice and the start leaves the silent attempt as the only one", t => {
    const withoutBudget = { ...conditions, hasRetryBudget: false };
    const event = { kind: "retryDenied", isBeside: true, conditions: withoutBudget } as const;
    const { state, commands } = advanceAttempts(one, event);
    t.is(state.current?.number, 1);
    t.is(state.silent, undefined);
    t.deepEqual(commands, [{ kind: "checkSilenceAfter", attempt: 1, milliseconds: 40 }]);
});

test("the first of two attempts that makes progress supersedes the other", t => {
    const progress = { kind: "eventReceived", attempt: 2, isNew: true } as const;
    const repeated = advanceAttempts(two, { ...progress, isNew: false });
    t.deepEqual(repeated.commands, []);
    t.is(repeated.state.silent?.number, 1);
    const other = advanceAttempts(two, progress);
    t.deepEqual(other.commands.at(-1), { kind: "supersede", attempt: 1 });
    t.deepEqual([other.state.possibleRuns, other.state.mayHaveRun], [0, true]);
    const silent = advanceAttempts(two, { ...progress, attempt: 1 });
    t.deepEqual(silent.commands.at(-1), { kind: "supersede", attempt: 2 });
    t.is(silent.state.current?.number, 1);
    t.is(silent.state.possibleRuns, 1);
    const served = advanceAttempts(two, { kind: "served", attempt: 1 });
    t.deepEqual(served.commands.at(-1), { kind: "supersede", attempt: 2 });
    t.is(served.state.current, undefined);
});

test("an attempt beside a silent one counts as no run if it is superseded before its request is written", t => {
    const events = { kind: "eventReceived", attempt: 1, isNew: true } as const;
    const state = after(started("a"), events, started("b", true), events);
    t.is(state.possibleRuns, 0);
    const lost = advanceAttempts(state, ended(1, "lost", { ...begun, maximumAttempts: 2 }));
    t.deepEqual(lost.commands, [{ kind: "choose", purpose: "next" }]);
});

test("a silent attempt with events counts as a run when it is superseded", t => {
    const state = after(
        started("a"),
        { kind: "eventReceived", attempt: 1, isNew: true },
        started("b", true),
        { kind: "eventReceived", attempt: 2, isNew: true },
    );
    t.is(state.possibleRuns, 1);
});

test("the silent attempt is waited for when no other one is left, and the other one when the silent one ends", t => {
    const refused = advanceAttempts(two, ended(2, "refused"));
    t.deepEqual(refused.commands, [{ kind: "choose", purpose: "next" }]);
    t.is(advanceAttempts(refused.state, started("c")).state.silent?.number, 1);
    const returned = advanceAttempts(refused.state, chosen("next", { kind: "none" }));
    t.is(returned.state.current?.number, 1);
    t.deepEqual(returned.commands, [{ kind: "checkSilenceAfter", attempt: 1, milliseconds: 40 }]);
    const lost = advanceAttempts(two, ended(1, "lost"));
    t.deepEqual(lost.commands, [{ kind: "checkSilence", attempt: 2 }]);
    t.is(lost.state.possibleRuns, 1);
});

test("a slow attempt is abandoned only for another replica, and the dispatcher is not asked without a retry budget", t => {
    const wait: AttemptCommand = { kind: "checkSlownessAfter", attempt: 1, milliseconds: 40 };
    t.deepEqual(advanceAttempts(one, { ...slow, extensionMilliseconds: 90 }).commands, [
        { ...wait, milliseconds: 90 },
    ]);
    const withoutBudget = { ...conditions, hasRetryBudget: false };
    t.deepEqual(advanceAttempts(one, { ...slow, conditions: withoutBudget }).commands, [wait]);
    t.deepEqual(advanceAttempts(one, { ...slow, conditions: begun }).commands, []);
    t.deepEqual(advanceAttempts(one, slow).commands, [{ kind: "choose", purpose: "instead" }]);
    t.deepEqual(advanceAttempts(one, chosen("instead", targetOf("a"))).commands, [wait]);
    t.is(advanceAttempts(one, chosen("instead", targetOf("b"))).commands[0]?.kind, "abandon");
});

test("without a replica, a stream that has begun is searched for one, a request that may have run is not called refused", t => {
    const none = { kind: "none" } as const;
    t.is(advanceAttempts(noAttempts, chosen("next", none)).commands[0]?.kind, "refuse");
    t.deepEqual(advanceAttempts(one, chosen("next", none)).commands, []);
    const lost = after(started("a"), ended(1, "lost"));
    t.is(advanceAttempts(lost, chosen("next", none)).commands[0]?.kind, "unknown");
    const overloaded = { kind: "overloaded", expectedMilliseconds: 1, retryAfterMilliseconds: 1 } as const;
    for (const choice of [none, overloaded]) {
        t.deepEqual(advanceAttempts(lost, chosen("next", choice, true)).commands, [
            { kind: "chooseNextAfter", milliseconds: 40 },
        ]);
    }
});

test("the time-out of an attempt continues once its replica is in use again after another one was made beside it", t => {
    const inUse = { ...silence, isDoubtful: false, silentMilliseconds: 0 };
    const returned = after(
        started("a"),
        started("b", true),
        ended(2, "refused"),
        chosen("next", { kind: "none" }),
    );
    const { state, commands } = advanceAttempts(returned, inUse);
    t.deepEqual(commands, [{ kind: "resumeTimeout", attempt: 1 }]);
    t.deepEqual(advanceAttempts(state, inUse).commands, []);
});

test("an attempt on a connection that its replica had dropped may have run the request, but is not counted as a run", t => {
    const state = after(started("a"), ended(1, "dropped", begun));
    t.true(state.mayHaveRun);
    t.is(countPossibleRuns(state), 0);
    t.is(countPossibleRuns(after(started("a"), ended(1, "lost", begun))), 1);
});

test("each refusal in a row makes the next search for a stream later, until a replica takes it", t => {
    const denial: AttemptEvent = { kind: "retryDenied", isBeside: true, conditions: begun };
    t.deepEqual(advanceAttempts(after(started("a"), denial), denial).commands, [
        { kind: "checkSilenceAfter", attempt: 1, milliseconds: 80 },
    ]);
    const refused = after(started("a"), ended(1, "refused", begun), started("b"));
    t.deepEqual(advanceAttempts(refused, ended(2, "refused", begun)).commands, [
        { kind: "chooseNextAfter", milliseconds: 40 },
    ]);
    t.deepEqual(advanceAttempts(refused, ended(2, "lost", begun)).commands, [
        { kind: "choose", purpose: "next" },
    ]);
});

/** Runs random events through the state machine, executes its commands, and checks what must hold at each step. */
class Simulation {
    public violation: string | undefined;
    private state = noAttempts;
    private timer: AttemptEvent | "chooseNext" | undefined;
    private hasBegunResponse = false;
    private isSettled = false;
    /** Numbers of the attempts that were started and have neither ended nor been superseded. */
    private readonly live = new Set<number>();

    /** `draw` returns a random integer from 0 to below its argument. */
    public constructor(private readonly draw: (below: number) => number) {
        this.execute({ kind: "choose", purpose: "next" });
    }

    public step(): void {
        const live = [this.state.current, this.state.silent].filter(each => each !== undefined);
        const attempt = live[this.draw(2)]?.number ?? live[0]?.number;
        const kind = this.draw(7);
        if (this.isSettled) {
            return;
        }
        if (kind === 0 || attempt === undefined) {
            this.fireTimer();
        } else if (kind === 1) {
            this.hasBegunResponse = true;
            this.apply({ kind: "eventReceived", attempt, isNew: true });
        } else if (kind === 2) {
            const outcomes = ["notSent", "withheld", "refused", "failed", "dropped", "lost"] as const;
            this.apply(ended(attempt, outcomes[this.draw(outcomes.length)]!, this.conditions));
        } else if (kind === 6) {
            this.apply({ kind: "written", attempt });
        } else if (kind === 3) {
            this.apply({ ...slow, attempt, conditions: this.conditions });
        } else {
            this.apply(this.silenceOf(attempt));
        }
        this.check();
    }

    private get conditions(): AttemptConditions {
        return {
            ...conditions,
            hasBegunResponse: this.hasBegunResponse,
            hasRetryBudget: this.draw(4) > 0,
        };
    }

    private silenceOf(attempt: number): AttemptEvent {
        const isDoubtful = this.draw(3) > 0;
        return { ...silence, attempt, isDoubtful, silentMilliseconds: 200, conditions: this.conditions };
    }

    private fireTimer(): void {
        const { timer } = this;
        this.timer = undefined;
        if (timer === "chooseNext") {
            this.execute({ kind: "choose", purpose: "next" });
        } else if (timer !== undefined) {
            this.apply(timer);
        }
    }

    private apply(event: AttemptEvent): void {
        const { state, commands } = advanceAttempts(this.state, event);
        this.state = state;
        if (event.kind === "started") {
            this.live.add(state.attemptCount);
        } else if (event.kind === "ended") {
            this.live.delete(event.attempt);
        }
        commands.forEach(command => this.execute(command));
    }

    private execute(command: AttemptCommand): void {
        switch (command.kind) {
            case "choose": {
                const choice =
                    this.draw(3) === 0 ? { kind: "none" as const } : targetOf("abc"[this.draw(3)]!);
                this.apply(chosen(command.purpose, choice, this.hasBegunResponse));
                return;
            }
            case "start": {
                const { isBeside } = command;
                const isDenied = this.state.attemptCount > 0 && this.draw(4) === 0;
                const withoutBudget = { ...this.conditions, hasRetryBudget: false };
                this.apply(
                    isDenied
                        ? { kind: "retryDenied", isBeside, conditions: withoutBudget }
                        : { kind: "started", isBeside, instance: targetId(command.target) },
                );
                return;
            }
            case "chooseNextAfter":
                this.timer = "chooseNext";
                return;
            case "checkSilenceAfter":
                this.timer = this.silenceOf(command.attempt);
                return;
            case "checkSilence":
                this.apply(this.silenceOf(command.attempt));
                return;
            case "abandon":
                this.apply(ended(command.attempt, "lost", this.conditions));
                return;
            case "supersede":
                this.live.delete(command.attempt);
                return;
            case "checkSlownessAfter":
            case "resumeTimeout":
                return;
            default:
                this.isSettled = true;
                this.checkEnd(command.kind);
        }
    }

    private check(): void {
        const { current, silent } = this.state;
        if (!this.isSettled && current === undefined && this.timer !== "chooseNext") {
            this.violation ??= "neither an attempt nor a search for a replica is pending";
        }
        const known = [current, silent].flatMap(attempt => attempt?.number ?? []);
        if (known.length !== this.live.size || !known.every(number => this.live.has(number))) {
            this.violation ??= "a live attempt is forgotten, or one that has ended is not";
        }
        const runs = countPossibleRuns(this.state) + (current === undefined ? 0 : 1);
        if (runs > conditions.maximumAttempts) {
            this.violation ??= "more replicas may have run the request than its route allows";
        }
    }

    private checkEnd(kind: AttemptCommand["kind"]): void {
        const { current, silent, mayHaveRun } = this.state;
        if (current !== undefined || silent !== undefined) {
            this.violation ??= "the request ended while an attempt was live";
        }
        if (kind === "refuse" && mayHaveRun) {
            this.violation ??= "a request that may have run was called refused";
        }
        if (kind !== "cut" && this.hasBegunResponse) {
            this.violation ??= "an error response followed the beginning of another response";
        }
    }
}

test("whatever fails, an open request has an attempt or a search pending, and never ends beside a live attempt", t => {
    fc.assert(
        fc.property(fc.infiniteStream(fc.nat(59)), numbers => {
            const simulation = new Simulation(below => numbers.next().value! % below);
            for (let step = 0; step < 40; step += 1) {
                simulation.step();
            }
            return simulation.violation === undefined;
        }),
        { numRuns: 3_000 },
    );
    t.pass();
});
