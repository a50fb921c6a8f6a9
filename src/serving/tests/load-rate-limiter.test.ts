import test from "ava";
import { LoadRateLimiter } from "../load-rate-limiter.js";

test("three placers together stay within the weight store's rate in any window, also across new terms", t => {
    const perSecond = 4;
    const takenAt: number[] = [];
    const create = (now: number): LoadRateLimiter =>
        LoadRateLimiter.create({ loadsPerSecond: perSecond / 3, burst: 1, unlimitedUntil: 0 }, now);
    let placers = [create(0), create(0), create(0)];
    for (let now = 0; now < 60_000; now += 25) {
        if (now % 4_000 === 0) {
            placers = [create(now), placers[1]!, placers[2]!];
        }
        placers.filter(placer => placer.tryTake(1, now)).forEach(() => takenAt.push(now));
    }
    for (const start of takenAt) {
        const inWindow = takenAt.filter(at => at >= start && at < start + 5_000).length;
        t.true(inWindow <= perSecond * 5 * 1.1 + 3, `${inWindow} from ${start}`);
    }
    t.true(takenAt.length > 100);
});

test("a group's loads begin together and delay the next load until the bucket has refilled", t => {
    const allowance = LoadRateLimiter.create({ loadsPerSecond: 1, burst: 1, unlimitedUntil: 0 }, 0);
    t.false(allowance.tryTake(1, 500));
    t.true(allowance.tryTake(4, 1_000));
    t.false(allowance.tryTake(1, 4_500));
    t.true(allowance.tryTake(1, 5_100));
});

test("loads are not rate-limited before traffic starts", t => {
    const allowance = LoadRateLimiter.create({ loadsPerSecond: 1, burst: 1, unlimitedUntil: 5_000 }, 0);
    t.true(allowance.tryTake(20, 10));
    t.true(allowance.tryTake(20, 20));
});
