import test from "ava";
import { claimMutants, searchClaims } from "./claims.js";

const seed = 4;

test("keyed calls run at most once and callers get the true outcome", async t => {
    const { failures, histories } = await searchClaims({ seed, histories: 400 });
    t.deepEqual(failures, []);
    t.is(histories, 400);
});

for (const [name, rules] of Object.entries(claimMutants)) {
    test(`the checker catches ${name}`, async t => {
        const { failures } = await searchClaims({ seed, histories: 1_000 }, rules);
        t.is(failures.length, 1);
    });
}
