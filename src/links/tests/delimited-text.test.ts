import test from "ava";
import fastCheck from "fast-check";
import { DelimitedText } from "../delimited-text.js";

test("pieces of any sizes yield the same texts", t => {
    const whole = "a\n\nbc\n\n\n\nd\ne\n\nrest";
    fastCheck.assert(
        fastCheck.property(fastCheck.array(fastCheck.integer({ min: 1, max: 5 })), sizes => {
            const text = DelimitedText.create("\n\n");
            const texts: string[] = [];
            let offset = 0;
            for (const size of [...sizes, whole.length]) {
                texts.push(...text.push(whole.slice(offset, offset + size)));
                offset += size;
            }
            return texts.join("|") === "a|bc||d\ne";
        }),
        { seed: 1 },
    );
    t.pass();
});

// Each piece searched all earlier ones again.
test("text without a delimiter in pieces of one character takes time in proportion to its length", t => {
    const text = DelimitedText.create("\n");
    const startedAt = performance.now();
    for (let count = 0; count < 300_000 && performance.now() - startedAt < 1_000; count += 1) {
        text.push("x");
    }
    t.true(performance.now() - startedAt < 1_000);
    t.true(text.chargedLength > 300_000);
});
