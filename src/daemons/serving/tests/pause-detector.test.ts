import test from "ava";
import { PauseDetector } from "../pause-detector.js";

test("detects a late tick, a suspended machine and a wall clock step, each once", t => {
    const detector = PauseDetector.create(0, 100_000);
    t.false(detector.check(25, 100_025).isPaused);
    t.true(detector.check(2_025, 102_025).isPaused);
    t.false(detector.check(2_050, 102_050).isPaused);
    t.true(detector.check(2_075, 107_075).isPaused);
    t.false(detector.check(2_100, 107_100).isPaused);
    t.true(detector.check(2_125, 105_000).isPaused);
});
