import test from "ava";
import { EntryShares } from "../entry-shares.js";
import { RetryWindow } from "../retry-window.js";

const names = Array.from({ length: 18 }, (_, index) => `entry-${index}`);

test("entry instances that restart together do not each take a large share of the allowance", t => {
    const allowance = 60;
    const windows = names.map(() =>
        RetryWindow.create({ windowMilliseconds: 10_000, fraction: 0, allowance }, 0),
    );
    const shares = names.map(name => EntryShares.create(name));
    let taken = 0;
    for (let now = 0; now < 10_000; now += 100) {
        // One more entry instance registers every 80 ms.
        const registered = names.slice(0, Math.floor(now / 80) + 1);
        shares.forEach((share, index) => {
            if (now % 700 === 0) {
                share.recordRegistered(registered, now);
            }
            const ownAllowance = share.isSettled ? allowance / share.count : 0;
            windows[index]!.setOptions({ windowMilliseconds: 10_000, fraction: 0, allowance: ownAllowance });
            while (windows[index]!.tryTakeRetry(now)) {
                taken += 1;
            }
        });
    }
    t.true(taken <= allowance, `${taken}`);
    t.true(taken > allowance / 3, `${taken}`);
});

test("an entry instance that is cut off keeps its share while the others continue", t => {
    const share = EntryShares.create("entry-0");
    share.recordRegistered(names, 0);
    share.recordRegistered(names, 700);
    share.recordRegistered(names.slice(0, 10), 12_000);
    t.is(share.count, 18);
    share.recordRegistered(names.slice(0, 10), 70_000);
    t.is(share.count, 10);
});

test("an entry instance that knows no others counts itself", t => {
    const share = EntryShares.create("entry-0");
    t.is(share.count, 1);
    t.false(share.isSettled);
    share.recordRegistered(["entry-1"], 0);
    t.is(share.count, 2);
});
