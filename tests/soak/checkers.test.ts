import test from "ava";
import type { SoakBounds } from "./checkers.js";
import { allCheckers } from "./checkers.js";
import type { CallerRecord, RunRecord, SoakHistory } from "./history.js";
import { emptyHistory } from "./history.js";
import { formatEvent, expectedResponse, expectedStream } from "./workload.js";

const bounds: SoakBounds = {
    configurationMilliseconds: 2_000,
    leavingMilliseconds: 2_000,
    settleMilliseconds: 3_000,
    timeLimitMilliseconds: 3_000,
    lossSlackMilliseconds: 200,
    retryBudget: { windowMilliseconds: 10_000, fraction: 0.2, allowance: 2 },
};
const checkers = allCheckers(bounds);

const caller: CallerRecord = {
    id: "once-1",
    kind: "once",
    entry: "entry-0",
    credential: "atelier-1",
    sentAt: 100,
    writtenAt: 101,
    endedAt: 200,
    status: 200,
    answeredId: "once-1",
    body: expectedResponse("once-1", "plain-1"),
    isWhole: true,
    isOnKeptConnection: false,
    isExcused: false,
};
const run: RunRecord = {
    id: "once-1",
    replica: "plain-1",
    at: 150,
    workspace: "atelier",
    hasCredential: false,
    members: [],
    target: "/once/once-1",
};
const sound: SoakHistory = {
    ...emptyHistory,
    callers: [
        caller,
        {
            ...caller,
            id: "stream-2",
            kind: "stream",
            answeredId: "stream-2",
            body: expectedStream("stream-2"),
        },
        { ...caller, id: "once-3", status: 503, answeredId: "once-3", body: "" },
    ],
    runs: [run, { ...run, id: "stream-2", replica: "engine-1" }],
    versions: [
        { entry: "entry-0", start: 1, at: 5_000, version: 1 },
        { entry: "entry-0", start: 1, at: 9_000, version: 2 },
        { entry: "entry-0", start: 2, at: 9_500, version: 1 },
    ],
    published: [
        { version: 1, at: 0 },
        { version: 2, at: 8_000 },
    ],
    leaving: [{ replica: "plain-2", at: 100 }],
};

test("a valid history passes every checker", t => {
    Object.entries(checkers).forEach(([name, check]) => t.deepEqual(check(sound), [], name));
});

const faults: Readonly<Record<keyof typeof checkers, Partial<SoakHistory>>> = {
    atMostOnce: { runs: [...sound.runs, { ...run, replica: "plain-2", at: 170 }] },
    notRunIsTrue: { runs: [...sound.runs, { ...run, id: "once-3" }] },
    wholeAnswers: {
        callers: sound.callers.map(each =>
            each.kind === "stream"
                ? { ...each, body: each.body.replace(formatEvent("stream-2", 3), "") }
                : each,
        ),
    },
    noCrossedAnswers: { callers: [{ ...caller, answeredId: "once-9" }] },
    onlyAsked: { runs: [...sound.runs, { ...run, id: "once-9" }] },
    workspaces: { runs: [{ ...run, workspace: "bureau" }] },
    versionsRise: {
        versions: [...sound.versions, { entry: "entry-0", start: 1, at: 9_900, version: 1 }],
        published: [{ version: 1, at: 0 }],
    },
    versionsInTime: { versions: [{ entry: "entry-0", start: 1, at: 11_000, version: 1 }] },
    leaving: { runs: [{ ...run, replica: "plain-2", at: 2_500 }] },
    nothingIsLost: { callers: [{ ...caller, status: 0, answeredId: undefined, body: "", isWhole: false }] },
    nothingIsCut: { callers: [{ ...caller, isWhole: false }] },
    repeats: {
        callers: [caller],
        runs: Array.from({ length: 6 }, (_, index) => ({ ...run, id: "read-1", at: 150 + index })),
    },
    groups: { groupViolations: ["an instance joined another group while its leader served"] },
};

for (const [name, changes] of Object.entries(faults)) {
    test(`the checker ${name} detects a violation`, t => {
        t.true(checkers[name]!({ ...sound, ...changes }).length > 0);
    });
}

const unanswered = { ...caller, status: 0, body: "", isWhole: false, isOnKeptConnection: true };

test("only a request that crosses the close of a kept connection and is not passed on is not lost", t => {
    const violationsOf = (record: CallerRecord, runs: readonly RunRecord[]): number =>
        checkers.nothingIsLost!({ ...emptyHistory, callers: [record], runs }).length;
    t.is(violationsOf(unanswered, []), 0);
    t.is(violationsOf(unanswered, [run]), 1);
    t.is(violationsOf({ ...unanswered, endedAt: 302 }, []), 1);
    t.is(violationsOf({ ...unanswered, isOnKeptConnection: false }, []), 1);
});

test("a cut response is allowed after a break of a replica, a fault of its link and the time limit", t => {
    const cut = { ...caller, isWhole: false };
    const violationsOf = (changes: Partial<SoakHistory>): number =>
        checkers.nothingIsCut!({ ...emptyHistory, callers: [cut], runs: [run], ...changes }).length;
    t.is(violationsOf({}), 1);
    t.is(violationsOf({ breaks: [{ id: caller.id, replica: run.replica }] }), 0);
    t.is(violationsOf({ linkFaults: [{ replica: run.replica, from: 150, to: 160 }] }), 0);
    t.is(violationsOf({ linkFaults: [{ replica: "plain-9", from: 150, to: 160 }] }), 1);
    t.is(violationsOf({ callers: [{ ...cut, endedAt: 3_100 }] }), 0);
});

test("a credential that reaches a replica is a violation", t => {
    const history = { ...sound, runs: [{ ...run, hasCredential: true }] };
    t.is(checkers.workspaces!(history).length, 1);
});

test("time bounds are not checked around a disturbance of the entry instance", t => {
    const disturbed = [{ entry: "entry-0", from: 8_500, to: 10_000 }];
    t.deepEqual(checkers.versionsInTime!({ ...sound, ...faults.versionsInTime, disturbed }), []);
    const elsewhere = [{ entry: "entry-1", from: 8_500, to: 10_000 }];
    t.is(checkers.versionsInTime!({ ...sound, ...faults.versionsInTime, disturbed: elsewhere }).length, 1);
});
