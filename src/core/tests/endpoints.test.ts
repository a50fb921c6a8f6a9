import test from "ava";
import type { EndpointReport } from "../endpoints.js";
import { isLaterReport } from "../endpoints.js";

function report(incarnation: number, sequence: number): EndpointReport {
    return {
        instance: "engine-1",
        incarnation,
        sequence,
        state: "idle",
        epoch: 0,
        leaving: false,
        load: { running: 0, waiting: 0, slots: 0 },
        warm: [],
    };
}

test("a report is newer only with a higher incarnation, or with a higher sequence of one incarnation", t => {
    t.true(isLaterReport(report(1, 1), undefined));
    t.true(isLaterReport(report(1, 2), report(1, 1)));
    t.false(isLaterReport(report(1, 1), report(1, 1)));
    t.false(isLaterReport(report(1, 9), report(2, 1)));
    t.true(isLaterReport(report(2, 1), report(1, 9)));
});
