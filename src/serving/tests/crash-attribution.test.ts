import test from "ava";
import type { CrashEvidence } from "../crash-attribution.js";
import { CrashAttribution, noCrashEvidence, quarantineMilliseconds } from "../crash-attribution.js";

interface Recorded {
    readonly attribution: CrashAttribution;
    readonly quarantines: string[];
    readonly ended: string[];
    changes: number;
}

function create(): Recorded {
    const recorded: Recorded = {
        attribution: CrashAttribution.create({
            random: () => 0.5,
            clearanceSpreadMilliseconds: () => 200,
            onQuarantine: segments => recorded.quarantines.push(segments.join()),
            onQuarantineEnd: segments => recorded.ended.push(segments.join()),
            onChange: () => (recorded.changes += 1),
        }),
        quarantines: [],
        ended: [],
        changes: 0,
    };
    return recorded;
}

/** Lets three requests with the segments crash one replica each, at 0, 300 and 600 ms. */
function crashThrice({ attribution }: Recorded, segments: readonly string[], hasHead = false): void {
    for (let count = 0; count < 3; count += 1) {
        attribution.recordCrash({ request: `r${count}`, segments }, `i${count} 1`, hasHead, count * 300);
        attribution.tick(count * 300);
    }
}

test("a segment is quarantined after three requests crashed three replicas", t => {
    const each = create();
    crashThrice(each, ["bad"]);
    t.deepEqual(each.quarantines, ["bad"]);
    t.true(each.attribution.recordRequest(["other", "bad"], 700));
    t.false(each.attribution.recordRequest(["other"], 700));
});

test("one request that is lost at many replicas, and many that are lost at one, are not enough", t => {
    const each = create();
    for (let count = 0; count < 9; count += 1) {
        const at = count * 300;
        each.attribution.recordCrash({ request: "r", segments: ["a"] }, `i${count}`, false, at);
        each.attribution.recordCrash({ request: `r${count}`, segments: ["b"] }, "i", false, at);
    }
    each.attribution.tick(5_000);
    t.deepEqual(each.quarantines, []);
});

test("replicas that crash at the same moment are not blamed on a segment", t => {
    const each = create();
    for (let count = 0; count < 9; count += 1) {
        each.attribution.recordCrash({ request: `r${count}`, segments: ["a"] }, `i${count}`, false, count);
    }
    each.attribution.tick(500);
    t.deepEqual(each.quarantines, []);
});

test("a segment of which a response completed recently is not blamed", t => {
    const each = create();
    each.attribution.recordSound(["shared"], 0);
    crashThrice(each, ["shared", "bad"]);
    t.deepEqual(each.quarantines, ["bad"]);
});

test("a complete response ends a quarantine at once, here and at the others", t => {
    const [one, other] = [create(), create()];
    crashThrice(one, ["a"]);
    other.attribution.apply("one", one.attribution.announcement(700), 700);
    t.deepEqual(other.quarantines, ["a"]);
    other.attribution.recordSound(["a"], 800);
    t.deepEqual(other.ended, ["a"]);
    other.attribution.tick(1_000);
    one.attribution.apply("other", other.attribution.announcement(1_000), 1_000);
    t.deepEqual(one.ended, ["a"]);
    t.false(one.attribution.isQuarantined(["a"], 1_000));
});

test("a request whose response had begun is blamed, not those that waited beside it", t => {
    const each = create();
    for (let count = 0; count < 3; count += 1) {
        const at = count * 300;
        const waiting = { request: `w${count}`, segments: ["waiting"] };
        each.attribution.recordCrash(waiting, `i${count}`, false, at);
        each.attribution.recordCrash({ request: `r${count}`, segments: ["bad"] }, `i${count}`, true, at);
        each.attribution.tick(at);
    }
    each.attribution.tick(1_000);
    t.deepEqual(each.quarantines, ["bad"]);
});

test("no request is blamed for a crash that a quarantine explains", t => {
    const each = create();
    crashThrice(each, ["bad"]);
    for (let count = 0; count < 9; count += 1) {
        const [at, start] = [1_000 + count * 300, `j${count}`];
        each.attribution.recordCrash({ request: `w${count}`, segments: ["waiting"] }, start, false, at);
        each.attribution.recordCrash({ request: `b${count}`, segments: ["bad"] }, start, false, at);
        each.attribution.tick(at);
    }
    each.attribution.tick(5_000);
    t.deepEqual(each.quarantines, ["bad"]);
});

test("of segments that only occurred together, requests with one of them are not refused", t => {
    const each = create();
    crashThrice(each, ["x", "bad"]);
    t.deepEqual(each.quarantines, ["bad,x"]);
    t.true(each.attribution.recordRequest(["x", "bad"], 700));
    t.false(each.attribution.recordRequest(["x"], 700));
    each.attribution.recordSound(["x"], 800);
    each.attribution.tick(900);
    t.true(each.attribution.isQuarantined(["y", "bad"], 900));
});

test("a segment is suspect as soon as another request with it was lost in a crash", t => {
    const { attribution } = create();
    const [first, second] = ["r1", "r2"].map(request => ({ request, segments: ["bad"] }));
    attribution.recordCrash(first!, "i1", false, 0);
    t.false(attribution.isSuspect(first!, 0));
    t.true(attribution.isSuspect(second!, 0));
    attribution.recordSound(["bad"], 1);
    t.false(attribution.isSuspect(second!, 1));
});

test("a quarantine ends a minute after the last request, at any entry instance", t => {
    const [one, other] = [create(), create()];
    crashThrice(one, ["bad"]);
    t.true(one.attribution.recordRequest(["bad"], 50_000));
    other.attribution.apply("one", one.attribution.announcement(50_100), 50_100);
    t.true(other.attribution.isQuarantined(["bad"], 50_000 + quarantineMilliseconds - 1));
    t.false(other.attribution.isQuarantined(["bad"], 50_000 + quarantineMilliseconds + 1));
    t.deepEqual(other.attribution.announcement(51_000), noCrashEvidence);
});

test("a quarantine that only the store shows ends by itself", t => {
    const { attribution } = create();
    attribution.adopt(["bad"], undefined, "the store", 0);
    attribution.adopt(["bad"], undefined, "the store", 40_000);
    t.is(attribution.current(40_000)[0]?.lastRequestAt, undefined);
    t.false(attribution.isQuarantined(["bad"], quarantineMilliseconds));
});

test("what is kept and announced is bounded", t => {
    const { attribution } = create();
    for (let count = 0; count < 5_000; count += 1) {
        const segments = [`s${count}`];
        attribution.recordCrash({ request: `r${count}`, segments }, `i${count}`, false, 0);
    }
    const sound: CrashEvidence["sound"] = Array.from({ length: 9_000 }, (_, index) => [`x${index}`, 0]);
    attribution.apply("peer", { ...noCrashEvidence, sound }, 0);
    t.true(JSON.stringify(attribution.announcement(1)).length < 4_000);
});
