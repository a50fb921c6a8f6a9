/** Compares what ran at the service with what callers were told. */
import type { FaultCode } from "../../src/core/errors.js";
import type { Attempt, ClaimWorld, Execution } from "./claims-worlds.js";

// Time within which a caller is told after its deadline: one call of the store, its ticks and its read-back.
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
        return isOwn ? undefined : `told an answer that is not its own: ${describe(attempt)}`;
    }
    if (told?.kind === "refused" && told.fault.notRun) {
        if (runs.some(run => run.request === call.id)) {
            return `told "not run" of what ran: ${describe(attempt)}`;
        }
        if (call.isRepeat === true && runs.some(run => run.at <= attempt.toldAt!)) {
            return `a repeat was told "not run" after its key ran: ${describe(attempt)}`;
        }
    }
    return undefined;
}

function checkAttempt(attempt: Attempt, world: ClaimWorld, mayBeSilent: boolean): string | undefined {
    const { call, told, sentAt } = attempt;
    if (told === undefined && !mayBeSilent) {
        return `never told anything: ${call.id}`;
    }
    if (sentAt !== undefined && sentAt >= call.deadline) {
        return `sent at its deadline or later: ${describe(attempt)}`;
    }
    const runs = world.executions.filter(({ key }) => key === (call.key ?? call.id));
    return checkAnswer(attempt, runs, world);
}

// The last repeat of each key, made when all faults are over, must tell what is true, if no entry forgot it.
function checkFinal(final: Attempt, world: ClaimWorld, mayExpire: boolean): string | undefined {
    const earlier = world.attempts.filter(({ call }) => call.key === final.call.key && call !== final.call);
    const isExcused =
        isRefusedFor(final, "keyMismatch") ||
        (mayExpire && isRefusedFor(final, "keyExpired")) ||
        earlier.some(({ entry, isUnknown }) => isUnknown || world.crashedEntries.has(entry));
    if (final.told?.kind === "refused" && !isExcused) {
        return `the last repeat was refused without cause: ${describe(final)}`;
    }
    return undefined;
}

function isRefusedFor({ told }: Attempt, code: FaultCode): boolean {
    return told?.kind === "refused" && told.fault.code === code;
}

function isLate({ call, toldAt }: Attempt): boolean {
    return toldAt !== undefined && toldAt > call.deadline + allowedLatenessMilliseconds;
}

/** Returns the first promise that a history broke; undefined if none. */
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
        return "a caller was told too late";
    }
    return finals
        .map(final => checkFinal(final, world, options.mayExpire))
        .find(problem => problem !== undefined);
}

/** Repeats that were told "not run" after their key ran, without saying that they are repeats and without a read. */
export function countUnmarkedRepeats(world: ClaimWorld): number {
    return world.attempts.filter(({ call, told, toldAt }) => {
        const isNotRun = told?.kind === "refused" && told.fault.notRun;
        return isNotRun && world.executions.some(run => run.key === call.key && run.at <= toldAt!);
    }).length;
}
