import test from "ava";
import { RecentPeak } from "../recent-peak.js";

test("a peak expires 30 seconds after it was reached", t => {
    const peak = RecentPeak.create();
    t.is(peak.record(8, 0), 8);
    t.is(peak.record(6, 20_000), 8);
    t.is(peak.record(7, 31_000), 7);
    t.is(peak.record(9, 32_000), 9);
});
