/** Compares the executions at the service with the outcomes that callers received. */
import type { FaultCode } from "../../src/core/errors.js";
import type { Attempt, ClaimWorld, Execution } from "./claims-worlds.js";

// A caller gets its outcome at most this long after its deadline: one store call, its ticks and its read-back.
const allowedLatenessMilliseconds = 700;

function describe(attempt: Attempt): string {
    const { told } = attempt;
    const outcome = told?.kind === "refused" ? `${told.fault.code} notRun=${told.fault.notRun}` : told?.kind;
    return `${attempt.call.id} at entry ${attempt.entry}: ${outcome}`;
}

function checkAnswer(attempt: Attempt, runs: readonly Execution[], world: ClaimWorld): string | undefined {
    const { call, told } = attempt;
    if (told?.kind === "answered") {
        const run = runs.find(({ answer }) => answer === told.answer.body);
        const owner = world.attempts.find(other => other.call.id === run?.request);
        const isOwn =
            owner?.call.body === call.body && owner.call.caller.subscriber === call.caller.subscriber;
        return isOwn ? undefined : `got the response of another call: ${describe(attempt)}`;
    }
    if (told?.kind === "refused" && told.fault.notRun) {
        if (runs.some(run => run.request === call.id)) {
            return `got "not run" although it ran: ${describe(attempt)}`;
        }
        if (call.isRepeat === true && runs.some(run => run.at <= attempt.toldAt!)) {
            return `a retry got "not run" after its key had run: ${describe(attempt)}`;
        }
    }
    return undefined;
}

function checkAttempt(attempt: Attempt, world: ClaimWorld, mayBeSilent: boolean): string | undefined {
    const { call, told, sentAt } = attempt;
    if (told === undefined && !mayBeSilent) {
        return `got no outcome: ${call.id}`;
    }
    if (sentAt !== undefined && sentAt >= call.deadline) {
        return `sent at its deadline or later: ${describe(attempt)}`;
    }
    const runs = world.executions.filter(({ key }) => key === (call.key ?? call.id));
    return checkAnswer(attempt, runs, world);
}

// The last retry of each key, sent after all faults, must succeed, unless an entry lost the outcome of an attempt.
function checkFinal(final: Attempt, world: ClaimWorld, mayExpire: boolean): string | undefined {
    const earlier = world.attempts.filter(({ call }) => call.key === final.call.key && call !== final.call);
    const isExcused =
        isRefusedFor(final, "keyMismatch") ||
        (mayExpire && isRefusedFor(final, "keyExpired")) ||
        earlier.some(({ entry, isUnknown }) => isUnknown || world.crashedEntries.has(entry));
    if (final.told?.kind === "refused" && !isExcused) {
        return `the last retry was refused without cause: ${describe(final)}`;
    }
    return undefined;
}

function isRefusedFor({ told }: Attempt, code: FaultCode): boolean {
    return told?.kind === "refused" && told.fault.code === code;
}

function isLate({ call, toldAt }: Attempt): boolean {
    return toldAt !== undefined && toldAt > call.deadline + allowedLatenessMilliseconds;
}

/** Returns the first violation in a history; undefined if there is none. */
export function checkClaims(
    world: ClaimWorld,
    finals: readonly Attempt[],
    options: { readonly hasPauses: boolean; readonly mayExpire: boolean },
): string | undefined {
    const runs = new Map<string, number>();
    for (const { key } of world.executions) {
        runs.set(key, (runs.get(key) ?? 0) + 1);
    }
    const doubled = [...runs].find(([, count]) => count > 1);
    if (doubled !== undefined) {
        return `key ${doubled[0]} ran ${doubled[1]} times`;
    }
    for (const attempt of world.attempts) {
        const problem = checkAttempt(attempt, world, world.crashedEntries.has(attempt.entry));
        if (problem !== undefined) {
            return problem;
        }
    }
    if (!options.hasPauses && world.attempts.some(isLate)) {
        return "a caller got its outcome too long after its deadline";
    }
    return finals
        .map(final => checkFinal(final, world, options.mayExpire))
        .find(problem => problem !== undefined);
}

/** Counts attempts that got "not run" after their key had run: retries not marked as such, for which no read was made. */
export function countUnmarkedRepeats(world: ClaimWorld): number {
    return world.attempts.filter(({ call, told, toldAt }) => {
        const isNotRun = told?.kind === "refused" && told.fault.notRun;
        return isNotRun && world.executions.some(run => run.key === call.key && run.at <= toldAt!);
    }).length;
}
