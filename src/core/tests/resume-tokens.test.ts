import { randomBytes } from "node:crypto";
import test from "ava";
import { createSeals } from "../../links/seals.js";
import { openResumeToken, sealResumeToken } from "../resume-tokens.js";

const caller = { team: "izmir", subscriber: "lead-1" };
const content = {
    ...caller,
    request: "request-1",
    model: "triage",
    promptHash: "0011223344556677",
    group: "group-1",
    instance: "engine-1",
    epoch: 4,
    attempt: 2,
    expiresAt: 1_000,
};
const oldKey = { id: "k1", secret: randomBytes(32) };
const newKey = { id: "k2", secret: randomBytes(32) };

test("a token opens for its subscriber until it expires, even after its key was rotated", t => {
    const token = sealResumeToken(content, createSeals([oldKey]).seal);
    const { open } = createSeals([newKey, oldKey]);
    const opened = openResumeToken(token, caller, open, 999);
    t.deepEqual(opened, { success: true, data: content });
    t.false(openResumeToken(token, caller, open, 1_000).success);
    t.false(openResumeToken(token, caller, createSeals([newKey]).open, 999).success);
});

test("foreign, altered, overlong and unsealed tokens all give one fault", t => {
    const { seal, open } = createSeals([newKey]);
    const token = sealResumeToken(content, seal);
    const last = token.at(-1) === "A" ? "B" : "A";
    const results = [
        openResumeToken(token, { ...caller, subscriber: "lead-2" }, open, 0),
        openResumeToken(token, { ...caller, team: "ankara" }, open, 0),
        openResumeToken(`${token.slice(0, -3)}${last}${token.slice(-2)}`, caller, open, 0),
        openResumeToken(`k2.${"A".repeat(5_000)}`, caller, open, 0),
        openResumeToken(JSON.stringify(content), caller, open, 0),
        openResumeToken(seal("{}"), caller, open, 0),
        openResumeToken(seal("not json"), caller, open, 0),
        openResumeToken("", caller, open, 0),
    ];
    for (const result of results) {
        t.deepEqual(result, results[0]!);
        t.false(result.success);
    }
});

test("keys of a wrong length, invalid key ids and an empty set of keys are rejected", t => {
    t.throws(() => createSeals([]), { instanceOf: RangeError });
    t.throws(() => createSeals([{ id: "k", secret: randomBytes(16) }]), { instanceOf: RangeError });
    t.throws(() => createSeals([{ id: "k.1", secret: randomBytes(32) }]), { instanceOf: RangeError });
});
