/** Checks a history of real processes for violations; pure functions. */
import { answerTokens } from "../../stand-ins/answer-tokens.js";
import type { MutantResult } from "../proofs.js";
import type { ActionRecord, ProcessHistory, StreamRecord } from "./process-history.js";

function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}

function checkAction(action: ActionRecord, runs: number): readonly string[] {
    const problems: string[] = [];
    const answered = action.attempts.filter(attempt => isSuccess(attempt.status));
    const outcomes = action.attempts.map(attempt => attempt.code ?? String(attempt.status)).join(", ");
    if (runs > 1) {
        problems.push(`action ${action.key} ran ${runs} times (${outcomes})`);
    }
    if (answered.length > 0 && runs === 0) {
        problems.push(`action ${action.key} got a successful response and never ran (${outcomes})`);
    }
    if (runs > 0 && action.attempts.every(attempt => attempt.notRun === true)) {
        problems.push(`action ${action.key} ran, and every attempt was refused as not run (${outcomes})`);
    }
    const cuts = action.attempts.filter(attempt => attempt.wasCut === true);
    problems.push(...cuts.map(cut => `action ${action.key} was cut by ${cut.entry}: ${cut.failure}`));
    if (new Set(answered.map(attempt => attempt.body)).size > 1) {
        problems.push(`action ${action.key} got different successful responses`);
    }
    return problems;
}

function checkStream(stream: StreamRecord): readonly string[] {
    const problems = stream.silentCuts.map(
        cut => `stream "${stream.prompt}" was cut without an error: ${cut}`,
    );
    const expectedTokens = answerTokens(stream.prompt, stream.tokens);
    const delivered = expectedTokens.slice(0, stream.offsets.length).join("");
    if (stream.text !== delivered) {
        problems.push(`stream "${stream.prompt}" has wrong text after ${stream.connections} connections`);
    }
    if (stream.offsets.some((offset, index) => offset !== index)) {
        problems.push(`stream "${stream.prompt}" has offsets that are out of order or duplicated`);
    }
    if (stream.end.kind === "whole" && stream.text !== expectedTokens.join("")) {
        problems.push(
            `stream "${stream.prompt}" was reported as complete after ${stream.offsets.length} tokens`,
        );
    }
    if (stream.end.kind === "cut") {
        problems.push(`stream "${stream.prompt}" ended without a terminal event: ${stream.end.failure}`);
    }
    return problems;
}

/** Returns one text for each violation in a history. */
export function checkHistory(history: ProcessHistory): readonly string[] {
    return [
        ...history.problems,
        ...history.actions.flatMap(action => checkAction(action, history.executions[action.key] ?? 0)),
        ...history.streams.flatMap(checkStream),
    ];
}

/** Counts that show which situations a history reached. */
export function countHistory(history: ProcessHistory): Readonly<Record<string, number>> {
    const attempts = history.actions.flatMap(action => action.attempts);
    const counts: Record<string, number> = {
        ...history.counts,
        actions: history.actions.length,
        actionAttempts: attempts.length,
        actionsRun: history.actions.filter(action => history.executions[action.key] === 1).length,
        streams: history.streams.length,
        streamsWhole: history.streams.filter(stream => stream.end.kind === "whole").length,
        streamsResumed: history.streams.filter(stream => stream.connections > 1).length,
    };
    const add = (name: string): void => {
        counts[name] = (counts[name] ?? 0) + 1;
    };
    attempts.forEach(attempt => {
        if (!isSuccess(attempt.status)) {
            add(`action ${attempt.code ?? `status ${attempt.status}`}`);
        }
    });
    history.streams.forEach(stream => {
        if (stream.end.kind === "error") {
            add(`stream ${stream.end.code}`);
        }
    });
    return counts;
}

type Falsification = (history: ProcessHistory) => ProcessHistory | undefined;

function falsifyStream(
    history: ProcessHistory,
    change: (stream: StreamRecord) => StreamRecord,
): ProcessHistory {
    const index = history.streams.findIndex(stream => stream.end.kind === "whole");
    return {
        ...history,
        streams: history.streams.map((stream, place) => (place === index ? change(stream) : stream)),
    };
}

function falsifyExecutions(
    history: ProcessHistory,
    isWanted: (action: ActionRecord) => boolean,
    runs: number,
): ProcessHistory | undefined {
    const action = history.actions.find(isWanted);
    return action && { ...history, executions: { ...history.executions, [action.key]: runs } };
}

function hasSuccess(action: ActionRecord): boolean {
    return action.attempts.some(attempt => isSuccess(attempt.status));
}

/** Falsifications of a history that the checker must detect. */
const falsifications: Readonly<Record<string, Falsification>> = {
    "action run twice": history => falsifyExecutions(history, hasSuccess, 2),
    "answered action not run": history => falsifyExecutions(history, hasSuccess, 0),
    "false not run": history => {
        const [first] = history.actions;
        const refused = { entry: "", status: 503, body: "", code: "storeUnavailable", notRun: true };
        return (
            first && {
                ...history,
                actions: [{ key: first.key, attempts: [refused] }],
                executions: { [first.key]: 1 },
            }
        );
    },
    "action cut": history => ({
        ...history,
        actions: history.actions.map(action => ({
            ...action,
            attempts: action.attempts.map(attempt => ({ ...attempt, wasCut: true })),
        })),
    }),
    "token left out": history =>
        falsifyStream(history, stream => ({ ...stream, text: stream.text.replace(/\S+ /, "") })),
    "text of another request": history =>
        falsifyStream(history, stream => ({ ...stream, text: answerTokens("x", stream.tokens).join("") })),
    "token doubled": history =>
        falsifyStream(history, stream => ({ ...stream, offsets: [0, ...stream.offsets.slice(0, -1)] })),
    "short answer called whole": history =>
        falsifyStream(history, stream => ({
            ...stream,
            text: answerTokens(stream.prompt, 1).join(""),
            offsets: [0],
        })),
    "silent cut": history => falsifyStream(history, stream => ({ ...stream, silentCuts: ["entry-1"] })),
};

/** Applies each falsification to a history without violations; returns which ones the checker detected. */
export function checkFalsifications(history: ProcessHistory): readonly MutantResult[] {
    return Object.entries(falsifications).map(([name, mutate]) => {
        const mutated = mutate(history);
        const problems = mutated === undefined ? [] : checkHistory(mutated);
        return { name, caught: problems.length > 0, histories: 1, message: problems[0] };
    });
}
