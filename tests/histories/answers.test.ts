import test from "ava";
import { answerMutants, searchAnswers } from "./answers.js";

const seed = 4;

test("answers are complete and in order, or end in an explicit fault", async t => {
    const { failures, histories } = await searchAnswers({ seed, histories: 400 });
    t.deepEqual(failures, []);
    t.is(histories, 400);
});

for (const [name, rules] of Object.entries(answerMutants)) {
    test(`the checker catches ${name}`, async t => {
        const { failures } = await searchAnswers({ seed, histories: 1_000 }, rules);
        t.is(failures.length, 1);
    });
}
