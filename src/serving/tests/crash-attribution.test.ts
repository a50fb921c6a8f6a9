import test from "ava";
import type { CrashEvidence, CrashSubject } from "../crash-attribution.js";
import { CrashAttribution, noCrashEvidence, quarantineMilliseconds } from "../crash-attribution.js";
import { requestTrait, resourceTrait } from "../crash-causes.js";

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
            onQuarantine: traits => recorded.quarantines.push(traits.join()),
            onQuarantineEnd: traits => recorded.ended.push(traits.join()),
            onChange: () => (recorded.changes += 1),
        }),
        quarantines: [],
        ended: [],
        changes: 0,
    };
    return recorded;
}

function createSubject(request: string, segments: readonly string[] = []): CrashSubject {
    return { request: requestTrait(request), resource: resourceTrait(request), segments };
}

/** Lets three requests with the segments crash one replica each, at 0, 300 and 600 ms. */
function crashThrice({ attribution }: Recorded, segments: readonly string[], hasHead = false): void {
    for (let count = 0; count < 3; count += 1) {
        attribution.recordCrash(
            createSubject(`r${count}`, segments),
            `i${count} 1`,
            hasHead ? "head" : "none",
            count * 300,
        );
        attribution.tick(count * 300);
    }
}

test("a segment is quarantined after three requests crashed three replicas", t => {
    const each = create();
    crashThrice(each, ["bad"]);
    t.deepEqual(each.quarantines, ["bad"]);
    t.not(each.attribution.recordRequest(createSubject("other", ["other", "bad"]), 700), undefined);
    t.is(each.attribution.recordRequest(createSubject("other", ["other"]), 700), undefined);
});

test("segments are not blamed for one request that is lost at many replicas, nor for many that are lost at one", t => {
    const each = create();
    for (let count = 0; count < 9; count += 1) {
        const at = count * 300;
        each.attribution.recordCrash(createSubject("r", ["a"]), `i${count}`, "none", at);
        each.attribution.recordCrash(createSubject(`r${count}`, ["b"]), "i", "none", at);
    }
    each.attribution.tick(2_500);
    t.deepEqual(each.quarantines, ["request:r"]);
});

test("replicas that crash at the same moment are not blamed on a segment", t => {
    const each = create();
    for (let count = 0; count < 9; count += 1) {
        each.attribution.recordCrash(createSubject(`r${count}`, ["a"]), `i${count}`, "none", count);
    }
    each.attribution.tick(500);
    t.deepEqual(each.quarantines, []);
});

test("a segment of which a response completed recently is not blamed", t => {
    const each = create();
    each.attribution.recordSound(createSubject("other", ["shared"]), 0);
    crashThrice(each, ["shared", "bad"]);
    t.deepEqual(each.quarantines, ["bad"]);
});

test("a complete response ends a quarantine at once, here and at the others", t => {
    const [one, other] = [create(), create()];
    crashThrice(one, ["a"]);
    other.attribution.apply("one", one.attribution.announcement(700), 700);
    t.deepEqual(other.quarantines, ["a"]);
    other.attribution.recordSound(createSubject("other", ["a"]), 800);
    t.deepEqual(other.ended, ["a"]);
    other.attribution.tick(1_000);
    one.attribution.apply("other", other.attribution.announcement(1_000), 1_000);
    t.deepEqual(one.ended, ["a"]);
    t.false(one.attribution.isQuarantined(createSubject("other", ["a"]), 1_000));
});

test("a request whose response had begun is blamed, not those that waited beside it", t => {
    const each = create();
    for (let count = 0; count < 3; count += 1) {
        const at = count * 300;
        const waiting = createSubject(`w${count}`, ["waiting"]);
        each.attribution.recordCrash(waiting, `i${count}`, "none", at);
        each.attribution.recordCrash(createSubject(`r${count}`, ["bad"]), `i${count}`, "head", at);
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
        each.attribution.recordCrash(createSubject(`w${count}`, ["waiting"]), start, "none", at);
        each.attribution.recordCrash(createSubject(`b${count}`, ["bad"]), start, "none", at);
        each.attribution.tick(at);
    }
    each.attribution.tick(5_000);
    t.deepEqual(each.quarantines, ["bad"]);
});

test("of segments that only occurred together, requests with one of them are not refused", t => {
    const each = create();
    crashThrice(each, ["x", "bad"]);
    t.deepEqual(each.quarantines, ["bad,x"]);
    t.not(each.attribution.recordRequest(createSubject("other", ["x", "bad"]), 700), undefined);
    t.is(each.attribution.recordRequest(createSubject("other", ["x"]), 700), undefined);
    each.attribution.recordSound(createSubject("other", ["x"]), 800);
    each.attribution.tick(900);
    t.true(each.attribution.isQuarantined(createSubject("other", ["y", "bad"]), 900));
});

test("a segment is suspect as soon as another request with it was lost in a crash", t => {
    const { attribution } = create();
    const [first, second] = ["r1", "r2"].map(request => createSubject(request, ["bad"]));
    attribution.recordCrash(first!, "i1", "none", 0);
    t.false(attribution.isSuspect(first!, 0));
    t.true(attribution.isSuspect(second!, 0));
    attribution.recordSound(createSubject("other", ["bad"]), 1);
    t.false(attribution.isSuspect(second!, 1));
});

test("a quarantine ends a minute after the last request, at any entry instance", t => {
    const [one, other] = [create(), create()];
    crashThrice(one, ["bad"]);
    t.not(one.attribution.recordRequest(createSubject("other", ["bad"]), 50_000), undefined);
    other.attribution.apply("one", one.attribution.announcement(50_100), 50_100);
    t.true(
        other.attribution.isQuarantined(createSubject("other", ["bad"]), 50_000 + quarantineMilliseconds - 1),
    );
    t.false(
        other.attribution.isQuarantined(createSubject("other", ["bad"]), 50_000 + quarantineMilliseconds + 1),
    );
    t.deepEqual(other.attribution.announcement(51_000), noCrashEvidence);
});

test("a quarantine that only the store shows ends by itself", t => {
    const { attribution } = create();
    attribution.adopt(["bad"], undefined, "the store", 0);
    attribution.adopt(["bad"], undefined, "the store", 40_000);
    t.is(attribution.current(40_000)[0]?.lastRequestAt, undefined);
    t.false(attribution.isQuarantined(createSubject("other", ["bad"]), quarantineMilliseconds));
});

test("what is kept and announced is bounded", t => {
    const { attribution } = create();
    for (let count = 0; count < 5_000; count += 1) {
        const segments = [`s${count}`];
        attribution.recordCrash(createSubject(`r${count}`, segments), `i${count}`, "none", 0);
    }
    const sound: CrashEvidence["sound"] = Array.from({ length: 9_000 }, (_, index) => [`x${index}`, 0]);
    attribution.apply("peer", { ...noCrashEvidence, sound }, 0);
    t.true(JSON.stringify(attribution.announcement(1)).length < 4_000);
});

/** Lets one request crash three replicas, at 0, 150 and 300 ms, and reports each at the given entry instances in turn. */
function crashRepeatedly(recorded: readonly Recorded[], subject: CrashSubject, from = 0): void {
    for (let count = 0; count < 3; count += 1) {
        const { attribution } = recorded[count % recorded.length]!;
        attribution.recordCrash(subject, `i${count} ${from}`, "none", from + count * 150);
    }
}

test("a request that crashed three replicas is refused, and other requests of its path are not", t => {
    const each = create();
    const repeated = createSubject("repeated");
    crashRepeatedly([each], repeated);
    each.attribution.tick(400);
    t.deepEqual(each.quarantines, ["request:repeated"]);
    t.not(each.attribution.recordRequest(repeated, 500), undefined);
    t.is(each.attribution.recordRequest({ ...repeated, request: requestTrait("neighbour") }, 500), undefined);
});

test("requests that differ in their query are refused together only if several of them crashed replicas", t => {
    const each = create();
    for (let count = 0; count < 3; count += 1) {
        const subject = { ...createSubject(`page ${count}`), resource: resourceTrait("board") };
        each.attribution.recordCrash(subject, `i${count}`, "none", count * 150);
    }
    each.attribution.tick(400);
    t.deepEqual(each.quarantines, ["resource:board"]);
});

test("a request that is lost at a second replica is not retried, whichever entry instance had the first loss", t => {
    const [one, other] = [create(), create()];
    const repeated = createSubject("repeated");
    one.attribution.recordCrash(repeated, "i0", "none", 0);
    t.false(one.attribution.isSuspect(repeated, 0));
    other.attribution.apply("one", one.attribution.announcement(10), 10);
    other.attribution.recordCrash(repeated, "i1", "none", 150);
    t.true(other.attribution.isSuspect(repeated, 150));
    t.is(other.changes, 1);
});

test("a complete response of a repeated request clears its earlier losses for good", t => {
    const each = create();
    const repeated = createSubject("repeated");
    each.attribution.recordCrash(repeated, "i0", "none", 0);
    each.attribution.recordCrash(repeated, "i1", "none", 150);
    each.attribution.recordSound(repeated, 200);
    each.attribution.recordCrash(repeated, "i2", "none", 100_000);
    each.attribution.tick(100_500);
    t.deepEqual(each.quarantines, []);
    t.false(each.attribution.isSuspect(repeated, 100_500));
});

test("a stream that crashes replicas after it has progressed is refused, and its prompt segments are not blamed", t => {
    const each = create();
    const repeated = createSubject("repeated", ["shared"]);
    for (let count = 0; count < 3; count += 1) {
        each.attribution.recordCrash(repeated, `i${count}`, "advanced", count * 2_000);
        each.attribution.tick(count * 2_000);
    }
    t.deepEqual(each.quarantines, ["request:repeated"]);
});

test("after its quarantine a request may run again, and one more crash refuses it for longer", t => {
    const [one, other] = [create(), create()];
    const repeated = createSubject("repeated");
    const recorded = [one, other];
    crashRepeatedly([one], repeated);
    one.attribution.tick(400);
    other.attribution.apply("one", one.attribution.announcement(400), 400);
    const endsAt = 400 + quarantineMilliseconds;
    for (const { attribution } of recorded) {
        t.is(attribution.recordRequest(repeated, 30_000), endsAt);
        t.true(attribution.isQuarantined(repeated, endsAt - 1));
    }
    // A peer whose quarantine has not ended yet does not prolong it here.
    const late = other.attribution.announcement(endsAt - 1);
    t.false(one.attribution.isQuarantined(repeated, endsAt));
    one.attribution.apply("other", late, endsAt + 1);
    t.is(one.attribution.recordRequest(repeated, endsAt + 2), undefined);
    one.attribution.recordCrash(repeated, "i3", "none", endsAt + 60);
    t.is(one.attribution.recordRequest(repeated, endsAt + 61), endsAt + 60 + 4 * quarantineMilliseconds);
    t.true(one.attribution.isSuspect(repeated, endsAt + 61));
    t.false(other.attribution.isQuarantined(repeated, endsAt + 65));
    other.attribution.apply("one", one.attribution.announcement(endsAt + 70), endsAt + 70);
    t.true(other.attribution.isQuarantined(repeated, endsAt + 3 * quarantineMilliseconds));
});

test("a path whose requests complete at one entry instance is not refused at another that only sees its crashes", t => {
    const [one, other] = [create(), create()];
    const createVariant = (count: number): CrashSubject => ({
        ...createSubject(`page ${count}`),
        resource: resourceTrait("board"),
    });
    one.attribution.recordCrash(createVariant(0), "i0", "none", 0);
    one.attribution.recordSound(createVariant(9), 50);
    for (let count = 1; count < 4; count += 1) {
        other.attribution.recordCrash(createVariant(count), `i${count}`, "none", count * 100);
        one.attribution.apply("other", other.attribution.announcement(count * 100), count * 100);
    }
    one.attribution.tick(400);
    other.attribution.apply("one", one.attribution.announcement(400), 400);
    other.attribution.tick(500);
    t.deepEqual(other.quarantines, []);
});

test("a quarantine ends as soon as an entry instance that knows its trait to be sound learns of it", t => {
    const [one, other] = [create(), create()];
    const repeated = createSubject("repeated");
    one.attribution.recordCrash(repeated, "i9", "none", 0);
    one.attribution.recordSound(repeated, 50);
    crashRepeatedly([other], repeated, 100);
    other.attribution.tick(600);
    t.deepEqual(other.quarantines, ["request:repeated"]);
    one.attribution.apply("other", { ...noCrashEvidence, quarantines: [[["request:repeated"], 0]] }, 610);
    one.attribution.tick(900);
    other.attribution.apply("one", one.attribution.announcement(900), 900);
    t.deepEqual(other.ended, ["request:repeated"]);
});
