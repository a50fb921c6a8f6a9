import test from "ava";
import { estimateFirstEvent, estimatePass, estimateSlotWait, estimateStep } from "../engine-models.js";
import { profile } from "./fake-engines.js";

const [large, small] = profile.models as [(typeof profile.models)[0], (typeof profile.models)[0]];
const idle = { requests: 0, unreadTokens: 0 };

test("a step takes longer with more streams, and less time on a faster model", t => {
    t.true(estimateStep(profile, large, 18) > estimateStep(profile, large, 1));
    t.is(estimateStep(profile, small, 4), 0.6 * estimateStep(profile, large, 4));
});

test("unread prompts ahead delay the first event by their prefill time", t => {
    const alone = estimateFirstEvent(profile, large, idle, 1_000);
    const behind = estimateFirstEvent(profile, large, { requests: 0, unreadTokens: 4_600 }, 1_000);
    t.true(behind - alone >= 100);
    t.true(behind - alone < 130);
});

test("a pass reads at most one chunk of prompt tokens per step", t => {
    const bounded = estimatePass(profile, large, { requests: 1, unreadTokens: 1_000_000 });
    const full = estimatePass(profile, large, {
        requests: 1,
        unreadTokens: profile.chunkTokens * profile.stride,
    });
    t.is(bounded, full);
});

test("a request waits for a slot only when all slots are taken", t => {
    t.is(estimateSlotWait(profile, large, profile.slots - 1), 0);
    t.true(estimateSlotWait(profile, large, profile.slots) > 0);
    t.true(
        estimateSlotWait(profile, large, 2 * profile.slots) > estimateSlotWait(profile, large, profile.slots),
    );
});
