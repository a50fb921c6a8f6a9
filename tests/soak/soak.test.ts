import { mkdtempSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import { createSchedule } from "./schedules.js";
import { buildProgram, playSoak } from "./soaks.js";

/** Checkers with bounds in real time, which a busy machine may miss; they are for runs by hand. */
const timedCheckers = ["versionsInTime", "leaving"];

test.serial("a short run over real processes keeps every promise", async t => {
    const program = buildProgram(mkdtempSync(join(tmpdir(), "chervil-soak-program-")));
    const report = await playSoak({ seed: 3, milliseconds: 6_000, entries: 2, engines: 4, program });
    const untimed = report.violations.filter(
        text => !timedCheckers.some(name => text.startsWith(`${name}:`)),
    );
    t.deepEqual(untimed, [], `${report.directory} ${JSON.stringify(report.counts)}`);
    t.true((report.counts["once 200"] ?? 0) > 0, JSON.stringify(report.counts));
    t.true((report.counts["stream 200"] ?? 0) > 0, JSON.stringify(report.counts));
});

test("the same seed gives the same schedule, another one another", t => {
    t.deepEqual(createSchedule(5, 20_000), createSchedule(5, 20_000));
    t.notDeepEqual(createSchedule(5, 20_000), createSchedule(6, 20_000));
    const kinds = new Set(createSchedule(5, 60_000).map(each => each.kind));
    t.true(kinds.size >= 10, [...kinds].join());
});
