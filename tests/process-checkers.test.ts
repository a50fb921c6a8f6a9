import test from "ava";
import { answerTokens } from "../stand-ins/answer-tokens.js";
import { checkHistory, checkFalsifications } from "./processes/process-checkers.js";
import type { ProcessHistory } from "./processes/process-history.js";

const tokens = answerTokens("p", 4);
const history: ProcessHistory = {
    actions: [
        { key: "a", attempts: [{ entry: "e", status: 201, body: "{}" }] },
        {
            key: "b",
            attempts: [
                { entry: "e", status: 0, body: "", failure: "reset" },
                { entry: "f", status: 409, body: "", code: "outcomeUnknown", notRun: false },
            ],
        },
        { key: "c", attempts: [{ entry: "e", status: 503, body: "", code: "overloaded", notRun: true }] },
    ],
    streams: [
        {
            prompt: "p",
            tokens: 4,
            text: tokens.join(""),
            offsets: [0, 1, 2, 3],
            connections: 2,
            silentCuts: [],
            end: { kind: "whole" },
        },
        {
            prompt: "p",
            tokens: 4,
            text: tokens.slice(0, 2).join(""),
            offsets: [0, 1],
            connections: 1,
            silentCuts: [],
            end: { kind: "error", code: "streamLost" },
        },
    ],
    executions: { a: 1, b: 1 },
    problems: [],
    counts: {},
};

test("a valid history passes, and each falsified one is detected", t => {
    t.deepEqual(checkHistory(history), []);
    for (const mutant of checkFalsifications(history)) {
        t.true(mutant.caught, mutant.name);
    }
});

test("wrong text before an explicit error is a violation", t => {
    const [, second] = history.streams;
    const wrong = { ...history, streams: [{ ...second!, text: "other text " }] };
    t.is(checkHistory(wrong).length, 1);
});
