import test from "ava";
import { RetryWindow } from "../retry-window.js";

const options = { windowMilliseconds: 10_000, fraction: 0.2, allowance: 20 };

function takeAll(window: RetryWindow, now: number): number {
    let taken = 0;
    while (window.tryTakeRetry(now)) {
        taken += 1;
    }
    return taken;
}

test("retries in any window do not exceed the allowance plus the fraction of its requests", t => {
    const window = RetryWindow.create(options, 0);
    const takenAt: number[] = [];
    for (let now = 10_000; now < 60_000; now += 50) {
        window.recordRequest(now);
        takenAt.push(...Array<number>(takeAll(window, now)).fill(now));
    }
    for (let start = 10_000; start < 50_000; start += 100) {
        const inWindow = takenAt.filter(at => at >= start && at < start + 10_000).length;
        t.true(inWindow <= 20 + 0.2 * 200, `${inWindow} from ${start}`);
    }
    t.true(takenAt.length > 100);
});

test("a process that has just started does not have the whole allowance", t => {
    const window = RetryWindow.create(options, 0);
    t.is(takeAll(window, 0), 0);
    t.true(takeAll(window, 2_000) <= 4);
});

test("a changed allowance applies immediately", t => {
    const window = RetryWindow.create(options, -10_000);
    window.setOptions({ ...options, allowance: 2 });
    t.true(takeAll(window, 0) <= 2);
});
