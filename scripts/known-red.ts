/**
 * Judges a run of the tests against KNOWN-RED.txt: a listed test may fail, and nothing else. The results are read from
 * the output of ava's default reporter, because its TAP reporter ends with an exception when a test file exits or times
 * out. Whatever cannot be attributed to a listed test counts as a failure.
 */

/** A test that is known to fail because of an open issue. */
export interface KnownRedTest {
    /** First line of the entry. */
    readonly heading: string;
    /** Path of the test file, relative to the root. */
    readonly file: string;
    readonly title: string;
    /** True if the test also passes at times. */
    readonly isFlaky: boolean;
}

/** Content of KNOWN-RED.txt. */
export interface KnownRedList {
    readonly tests: readonly KnownRedTest[];
    /** First lines of entries for commands that `npm test` does not run; they excuse nothing. */
    readonly otherCommands: readonly string[];
    /** Lines that cannot be read. */
    readonly malformed: readonly string[];
}

/** Results of one run of ava. */
export interface TestRun {
    /** Tests that passed, as printed: file prefix and title, perhaps followed by a duration. */
    readonly passed: readonly string[];
    /** Tests and hooks that failed, as printed: file prefix, title and message. */
    readonly failed: readonly string[];
    /** Lines of the section with the details of failures, in which each failure has its full title on a line. */
    readonly details: readonly string[];
    /** Failures of files and of ava itself: crashes, timeouts, exits, files without tests. */
    readonly otherFailures: readonly string[];
    /** Number of failed tests in ava's summary. */
    readonly failedTests: number;
    /** True if ava printed its summary. */
    readonly isComplete: boolean;
}

export interface Verdict {
    /** Listed tests that failed. */
    readonly excused: readonly KnownRedTest[];
    /** Listed tests that passed. */
    readonly passing: readonly KnownRedTest[];
    /** Reasons for which the run fails; empty if it passes. */
    readonly problems: readonly string[];
}

const testHeadingPattern = /^(\S+\.test\.ts), "(.+)" \(issue \d+\): (flaky|red)$/;
const otherHeadingPattern = /^\S.*\(issue \d+\)$/;
const durationPattern = /^ \([\d.]+(?:ms|s|m)(?: [\d.]+(?:ms|s))*\)$/;

/** Reads KNOWN-RED.txt: entries begin at the start of a line, their details are indented. */
export function parseKnownRed(text: string): KnownRedList {
    const headings = text.split("\n").filter(line => /^\S/.test(line));
    const tests: KnownRedTest[] = [];
    const otherCommands: string[] = [];
    const malformed: string[] = [];
    for (const heading of headings) {
        const [, file, title, mark] = testHeadingPattern.exec(heading) ?? [];
        const isRepeated = tests.some(test => test.heading === heading);
        if (file !== undefined && title !== undefined && !isRepeated) {
            tests.push({ heading, file, title, isFlaky: mark === "flaky" });
        } else if (otherHeadingPattern.test(heading) && !heading.includes(".test.ts")) {
            otherCommands.push(heading);
        } else {
            malformed.push(heading);
        }
    }
    return { tests, otherCommands, malformed };
}

/** Reads the standard output of `ava --no-color`; the output of the tests themselves goes to standard error. */
export function readTestRun(output: string): TestRun {
    const lines = output.split("\n");
    const summaryStart = lines.indexOf("  ─");
    const results = summaryStart === -1 ? lines : lines.slice(0, summaryStart);
    const details = summaryStart === -1 ? [] : lines.slice(summaryStart + 1);
    const after = (prefix: string) =>
        results.filter(line => line.startsWith(prefix)).map(line => line.slice(prefix.length).trimEnd());
    const summary = details.slice(details.lastIndexOf("  ─") + 1);
    const failedTests = summary.map(line => /^ {2}(\d+) tests? failed$/.exec(line)?.[1]).find(Boolean);
    return {
        passed: after("  ✔ "),
        failed: after("  ✘ [fail]: "),
        details: details.map(line => line.trimEnd()),
        otherFailures: [
            ...after("  ✘ ").filter(line => !line.startsWith("[fail]: ")),
            ...results.filter(line => /^ {2}(Uncaught exception|Unhandled rejection) in /.test(line)),
        ].map(line => line.trim()),
        failedTests: Number(failedTests ?? 0),
        isComplete: summaryStart !== -1,
    };
}

/** Returns a test's full title as ava prints it. */
function printedTitle({ file, title }: KnownRedTest): string {
    return [...file.replace(/\.test\.ts$/, "").split("/"), title].join(" › ");
}

/** Judges a run. `exitCode`: of ava; undefined if a signal ended it. */
export function judgeTestRun(list: KnownRedList, run: TestRun, exitCode: number | undefined): Verdict {
    const unexcused = [...run.failed];
    const excused: KnownRedTest[] = [];
    const passing: KnownRedTest[] = [];
    const stale: string[] = [];
    for (const test of list.tests) {
        const title = printedTitle(test);
        const index = unexcused.findIndex(line => line === title || line.startsWith(`${title} `));
        if (index !== -1 && run.details.includes(`  ${title}`)) {
            unexcused.splice(index, 1);
            excused.push(test);
        } else if (run.passed.some(line => line === title || isWithDuration(line, title))) {
            passing.push(test);
        } else {
            stale.push(`stale entry in KNOWN-RED.txt, the test did not run: ${test.heading}`);
        }
    }
    const problems = [
        ...unexcused.map(line => `failed: ${line}`),
        ...run.otherFailures,
        ...stale,
        ...list.malformed.map(line => `malformed or repeated entry in KNOWN-RED.txt: ${line}`),
        ...(run.isComplete ? [] : ["ava did not print a summary"]),
    ];
    const isExplained = exitCode === 0 ? run.failed.length === 0 : excused.length > 0;
    const unexplained =
        !isExplained || run.failed.length !== run.failedTests
            ? [`ava ended with ${exitCode ?? "a signal"} and counted ${run.failedTests} failed tests`]
            : [];
    return { excused, passing, problems: problems.length > 0 ? problems : unexplained };
}

function isWithDuration(line: string, title: string): boolean {
    return line.startsWith(title) && durationPattern.test(line.slice(title.length));
}

/** Returns the lines to print after a run; the last one counts passed and failed tests. */
export function summarize(
    list: KnownRedList,
    run: TestRun,
    { excused, passing, problems }: Verdict,
): readonly string[] {
    return [
        ...excused.map(({ heading }) => `known red, not counted: ${heading}`),
        ...passing.map(({ heading, isFlaky }) =>
            isFlaky ? `known red, passed this time: ${heading}` : `passes again, remove it: ${heading}`,
        ),
        ...list.otherCommands.map(heading => `known red, not run here: ${heading}`),
        ...problems.map(problem => `not excused: ${problem}`),
        `${run.passed.length} passed, ${problems.length} failed`,
    ];
}
