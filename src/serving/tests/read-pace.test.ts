import test from "ava";
import { ReadPace, SharedReadPace } from "../read-pace.js";

/** Pieces in one read of a connection, of the smallest size. */
const piecesPerRead = 10_000;
const secondsPlayed = 20;

/** Plays senders without end that are read whenever their pace allows it, and returns the pieces read per second. */
function playEndlessSenders(count: number): number {
    const shared = SharedReadPace.create(0);
    const paces = Array.from({ length: count }, () => ReadPace.create(shared, 0));
    let pieces = 0;
    for (let now = 0; now < secondsPlayed * 1_000; now += 1) {
        for (const pace of paces.filter(each => each.deferralMilliseconds(now) === 0)) {
            pace.record(piecesPerRead);
            pieces += piecesPerRead;
        }
    }
    return pieces / secondsPlayed;
}

// Each such sender was read as fast as it sent, which left no time for other requests.
test("the pieces of senders without end are limited, of one and of all together", t => {
    t.true(playEndlessSenders(1) <= 23_000);
    t.true(playEndlessSenders(50) <= 23_000 + 50 * (500 + piecesPerRead / secondsPlayed));
});

test("usual streams are not deferred while senders without end use up the shared pace", t => {
    const shared = SharedReadPace.create(0);
    const endless = ReadPace.create(shared, 0);
    const stream = ReadPace.create(shared, 0);
    for (let now = 0; now < secondsPlayed * 1_000; now += 10) {
        endless.record(piecesPerRead);
        t.true(endless.deferralMilliseconds(now) > 0 || now < 1_000);
        // An event each 30 ms, and a burst of 500 events after a pause of the replica.
        stream.record(now % 30 === 0 ? 2 : 0);
        stream.record(now === 10_000 ? 1_000 : 0);
        t.is(stream.deferralMilliseconds(now), 0);
    }
});

test("a deferral ends by itself", t => {
    const pace = ReadPace.create(SharedReadPace.create(0), 0);
    pace.record(30_000);
    let now = 0;
    for (let wait = pace.deferralMilliseconds(now); wait > 0; wait = pace.deferralMilliseconds(now)) {
        now += wait;
    }
    t.true(now > 0 && now <= 1_000, `${now} ms`);
});
