import test from "ava";
import { estimateFirstEvent, estimatePass, estimateSlotWait, estimateStep } from "../engine-models.js";
import { profile } from "./fake-engines.js";

const [large, small] = profile.models as [(typeof profile.models)[0], (typeof profile.models)[0]];
const idle = { requests: 0, unreadTokens: 0 };

test("a step takes longer the more streams are written, and less on a faster model", t => {
    t.true(estimateStep(profile, large, 18) > estimateStep(profile, large, 1));
    t.is(estimateStep(profile, small, 4), 0.6 * estimateStep(profile, large, 4));
});

test("unread prompts ahead delay the first event by the time of reading them", t => {
    const alone = estimateFirstEvent(profile, large, idle, 1_000);
    const behind = estimateFirstEvent(profile, large, { requests: 0, unreadTokens: 4_600 }, 1_000);
    t.true(behind - alone >= 100);
    t.true(behind - alone < 130);
});

test("a pass reads no more than a chunk a step", t => {
    const bounded = estimatePass(profile, large, { requests: 1, unreadTokens: 1_000_000 });
    const full = estimatePass(profile, large, {
        requests: 1,
        unreadTokens: profile.chunkTokens * profile.stride,
    });
    t.is(bounded, full);
});

test("a slot is waited for only when all are taken", t => {
    t.is(estimateSlotWait(profile, large, profile.slots - 1), 0);
    t.true(estimateSlotWait(profile, large, profile.slots) > 0);
    t.true(
        estimateSlotWait(profile, large, 2 * profile.slots) > estimateSlotWait(profile, large, profile.slots),
    );
});
