import test from "ava";
import { judgeTestRun, parseKnownRed, readTestRun } from "../scripts/known-red.js";

const red = 'src/core/tests/a.test.ts, "breaks (at times)" (issue 7): red';
const flaky = 'platform/tests/b.test.ts, "says "no"" (issue 8): flaky';
const other = "tests/soak, seeds 1 and 2: nothingIsLost (issue 9)";
const listText = `${red}\n  command: npx ava\n\n${flaky}\n  seen once\n${other}\n`;
const redTitle = "src › core › tests › a › breaks (at times)";
const flakyTitle = 'platform › tests › b › says "no"';

interface Output {
    readonly passed?: readonly string[];
    readonly failed?: readonly string[];
    readonly others?: readonly string[];
    readonly exitCode?: number;
}

function judge({ passed = [], failed = [], others = [], exitCode = 1 }: Output, text = listText) {
    const output = [
        "",
        ...passed.map(title => `  ✔ ${title}`),
        ...failed.map(title => `  ✘ [fail]: ${title} Rejected promise returned by test`),
        ...others,
        "  ─",
        "",
        ...failed.flatMap(title => [`  ${title}`, "", "  Error: failed", ""]),
        ...(failed.length > 0 ? ["  ─", "", `  ${failed.length} tests failed`] : ["  1 test passed"]),
    ].join("\n");
    return judgeTestRun(parseKnownRed(text), readTestRun(output), exitCode);
}

test("reads the entries of tests and of other commands", t => {
    const { tests, otherCommands, malformed } = parseKnownRed(listText);
    t.deepEqual(
        tests.map(({ file, title, isFlaky }) => [file, title, isFlaky]),
        [
            ["src/core/tests/a.test.ts", "breaks (at times)", false],
            ["platform/tests/b.test.ts", 'says "no"', true],
        ],
    );
    t.deepEqual(otherCommands, [other]);
    t.deepEqual(malformed, []);
});

test("passes over listed tests that fail, and reports listed tests that pass", t => {
    const { excused, passing, problems } = judge({ passed: [`${flakyTitle} (1.2s)`], failed: [redTitle] });
    t.deepEqual(problems, []);
    t.deepEqual(
        [excused, passing].map(tests => tests.map(({ heading }) => heading)),
        [[red], [flaky]],
    );
    t.deepEqual(judge({ passed: [redTitle, flakyTitle], exitCode: 0 }).problems, []);
});

test("fails for a test that is not listed, also if its title extends a listed one", t => {
    const rest = { passed: [flakyTitle] };
    t.deepEqual(judge({ ...rest, failed: [redTitle, `${redTitle} and more`] }).problems.length, 1);
    t.deepEqual(
        judge({ passed: [flakyTitle, redTitle], failed: [`${redTitle} and more`] }).problems.length,
        1,
    );
    t.deepEqual(judge({ ...rest, failed: [redTitle, "tests › other › title"] }).problems.length, 1);
});

test("fails for a listed test that did not run, was renamed or was moved", t => {
    const passed = [flakyTitle];
    t.regex(judge({ passed, exitCode: 0 }).problems.join(), /^stale entry .*a\.test\.ts/);
    t.is(judge({ passed: [...passed, `${redTitle} again`], exitCode: 0 }).problems.length, 1);
    t.is(judge({ passed: [...passed, redTitle.replace("core", "links")], exitCode: 0 }).problems.length, 1);
    t.is(judge({ passed, others: [`  - [skip] ${redTitle}`], exitCode: 0 }).problems.length, 1);
});

test("excuses no crash, timeout, exit or hook of a file with a listed test", t => {
    const rest = { passed: [flakyTitle], failed: [redTitle] };
    for (const line of [
        "  ✘ src/core/tests/a.test.ts exited with a non-zero exit code: 1",
        "  ✘ src/core/tests/a.test.ts exited due to SIGKILL",
        "  ✘ Timed out while running tests",
        "  ✘ 1 test remaining in src/core/tests/a.test.ts",
        "  ✘ [unexpected pass]: src › core › tests › a › other",
        "  Uncaught exception in src/core/tests/a.test.ts",
    ]) {
        t.is(judge({ ...rest, others: [line] }).problems.length, 1, line);
    }
    const hook = "src › core › tests › a › beforeEach hook for breaks (at times)";
    t.not(judge({ ...rest, failed: [hook] }).problems.length, 0);
});

test("fails for a failure of ava that its output does not explain", t => {
    const passed = [redTitle, flakyTitle];
    t.is(judge({ passed, exitCode: 1 }).problems.length, 1);
    t.is(judge({ passed: [flakyTitle], failed: [redTitle], exitCode: 0 }).problems.length, 1);
    const cut = readTestRun(`  ✔ ${redTitle}\n  ✔ ${flakyTitle}\n`);
    t.deepEqual(judgeTestRun(parseKnownRed(listText), cut, 0).problems, ["ava did not print a summary"]);
    t.is(judgeTestRun(parseKnownRed(""), { ...cut, isComplete: true, failedTests: 1 }, 1).problems.length, 1);
});

test("fails for malformed and repeated entries", t => {
    const run = { passed: [redTitle], exitCode: 0 };
    t.deepEqual(judge(run, red).problems, []);
    t.is(judge(run, `${red}\n${red}\n`).problems.length, 1);
    t.is(judge(run, `${red}\nsrc/x.test.ts, "title": red\n`).problems.length, 1);
    t.is(judge(run, `${red}\nsrc/x.test.ts: some words (issue 3)\n`).problems.length, 1);
});
