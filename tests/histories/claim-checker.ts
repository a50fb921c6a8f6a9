/** Compares the executions at the service with the outcomes that callers received. */
import type { FaultCode } from "../../src/core/errors.js";
import type { Attempt, ClaimSimulation, Execution } from "./claim-simulation.js";

// A caller gets its outcome at most this long after its deadline: one store call, its ticks and its read-back.
const maximumLatenessMilliseconds = 700;

function describe(attempt: Attempt): string {
    const { outcome: receivedOutcome } = attempt;
    const outcome =
        receivedOutcome?.kind === "refused"
            ? `${receivedOutcome.fault.code} notRun=${receivedOutcome.fault.notRun}`
            : receivedOutcome?.kind;
    return `${attempt.call.id} at entry ${attempt.entry}: ${outcome}`;
}

function checkAnswer(
    attempt: Attempt,
    runs: readonly Execution[],
    simulation: ClaimSimulation,
): string | undefined {
    const { call, outcome: receivedOutcome } = attempt;
    if (receivedOutcome?.kind === "answered") {
        const run = runs.find(({ answer }) => answer === receivedOutcome.answer.body);
        const owner = simulation.attempts.find(other => other.call.id === run?.request);
        const isOwn =
            owner?.call.body === call.body && owner.call.caller.subscriber === call.caller.subscriber;
        return isOwn ? undefined : `got the response of another call: ${describe(attempt)}`;
    }
    if (receivedOutcome?.kind === "refused" && receivedOutcome.fault.notRun) {
        if (runs.some(run => run.request === call.id)) {
            return `got "not run" although it ran: ${describe(attempt)}`;
        }
        if (call.isRepeat === true && runs.some(run => run.at <= attempt.outcomeAt!)) {
            return `a retry got "not run" after its key had run: ${describe(attempt)}`;
        }
    }
    return undefined;
}

function checkAttempt(
    attempt: Attempt,
    simulation: ClaimSimulation,
    mayLackOutcome: boolean,
): string | undefined {
    const { call, outcome: receivedOutcome, sentAt } = attempt;
    if (receivedOutcome === undefined && !mayLackOutcome) {
        return `got no outcome: ${call.id}`;
    }
    if (sentAt !== undefined && sentAt >= call.deadline) {
        return `sent at its deadline or later: ${describe(attempt)}`;
    }
    const runs = simulation.executions.filter(({ key }) => key === (call.key ?? call.id));
    return checkAnswer(attempt, runs, simulation);
}

// The last retry of each key, sent after all faults, must succeed, unless an entry lost the outcome of an attempt.
function checkFinal(final: Attempt, simulation: ClaimSimulation, mayExpire: boolean): string | undefined {
    const earlier = simulation.attempts.filter(
        ({ call }) => call.key === final.call.key && call !== final.call,
    );
    const isExcused =
        isRefusedFor(final, "keyMismatch") ||
        (mayExpire && isRefusedFor(final, "keyExpired")) ||
        earlier.some(({ entry, isUnknown }) => isUnknown || simulation.crashedEntries.has(entry));
    if (final.outcome?.kind === "refused" && !isExcused) {
        return `the last retry was refused without cause: ${describe(final)}`;
    }
    return undefined;
}

function isRefusedFor({ outcome: receivedOutcome }: Attempt, code: FaultCode): boolean {
    return receivedOutcome?.kind === "refused" && receivedOutcome.fault.code === code;
}

function isLate({ call, outcomeAt: receivedAt }: Attempt): boolean {
    return receivedAt !== undefined && receivedAt > call.deadline + maximumLatenessMilliseconds;
}

/** Returns the first violation in a history; undefined if there is none. */
export function checkClaims(
    simulation: ClaimSimulation,
    finals: readonly Attempt[],
    options: { readonly hasPauses: boolean; readonly mayExpire: boolean },
): string | undefined {
    const runs = new Map<string, number>();
    for (const { key } of simulation.executions) {
        runs.set(key, (runs.get(key) ?? 0) + 1);
    }
    const doubled = [...runs].find(([, count]) => count > 1);
    if (doubled !== undefined) {
        return `key ${doubled[0]} ran ${doubled[1]} times`;
    }
    for (const attempt of simulation.attempts) {
        const problem = checkAttempt(attempt, simulation, simulation.crashedEntries.has(attempt.entry));
        if (problem !== undefined) {
            return problem;
        }
    }
    if (!options.hasPauses && simulation.attempts.some(isLate)) {
        return "a caller got its outcome too long after its deadline";
    }
    return finals
        .map(final => checkFinal(final, simulation, options.mayExpire))
        .find(problem => problem !== undefined);
}

/** Counts attempts that got "not run" after their key had run: retries not marked as such, for which no read was made. */
export function countUnmarkedRetries(simulation: ClaimSimulation): number {
    return simulation.attempts.filter(({ call, outcome: receivedOutcome, outcomeAt: receivedAt }) => {
        const isNotRun = receivedOutcome?.kind === "refused" && receivedOutcome.fault.notRun;
        return isNotRun && simulation.executions.some(run => run.key === call.key && run.at <= receivedAt!);
    }).length;
}
