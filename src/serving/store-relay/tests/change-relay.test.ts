import { randomBytes } from "node:crypto";
import test from "ava";
import type { KeyValueEntry } from "../../../contracts/key-value-stores.js";
import type { ProgressEvent } from "../watch-feed.js";
import type { ReceivedMark, RelayedChanges, RelayedResponse, RelayTiming } from "../change-relay.js";
import { decodeChanges, encodeChanges } from "../relay-datagram.js";
import { ChangeRelay, omitKnownChanges } from "../change-relay.js";

const era = 1;
const timing: RelayTiming = {
    isRelayed: true,
    watchPauseMilliseconds: 1_100,
    watchTimeoutMilliseconds: 2_400,
    relayPauseMilliseconds: 800,
    maximumStateAgeMilliseconds: 1_950,
    peerExpiryMilliseconds: 1_500,
};
const mark: ReceivedMark = { incarnation: "start", sequence: 1 };
/** Pause after a call that failed. */
const retryMilliseconds = 300;
const networkMilliseconds = 2;
/** Interval of the datagrams that each entry instance sends in any case. */
const peerIntervalMilliseconds = 330;
const stepMilliseconds = 10;

/** A key-value store whose revision rises by one with each write of a key, and entry instances that follow it. */
interface Simulation {
    readonly revisions: Map<string, number>;
    revision: number;
    isDown: boolean;
    calls: number;
}

interface Sent extends RelayedResponse {
    readonly to: readonly string[];
}

class SimulatedEntry {
    public isDead = false;
    /** True while the store fails the calls of this process. */
    public isTurnedAway = false;
    /** Time after which a response is handled; the other calls wait meanwhile. */
    public lateMilliseconds = 0;
    /** Time of the latest datagram to the others, which is also its number. */
    private markedAt = 0;
    private pending: { readonly at: number; readonly finish: (now: number) => Sent | undefined } | undefined;
    public readonly known = new Map<string, number>();
    public position = 0;
    private readonly relay: ChangeRelay;

    public constructor(
        public readonly name: string,
        private readonly store: Simulation,
        options: { readonly timing?: RelayTiming } = {},
    ) {
        this.relay = ChangeRelay.create({ name, timing: () => options.timing ?? timing });
        this.relay.begin(0);
    }

    public hear(peers: readonly SimulatedEntry[], now: number): void {
        peers
            .filter(peer => peer !== this)
            .forEach(peer => {
                this.relay.recordPeer(peer.name, peer.latestMark(now), now);
                this.relay.recordServed(peer.name, peer.isServed);
            });
    }

    public get isServed(): boolean {
        return this.relay.isServed;
    }

    public latestMark(now: number): ReceivedMark {
        this.markedAt = Math.max(this.markedAt, now - (now % peerIntervalMilliseconds));
        return { incarnation: this.name, sequence: this.markedAt };
    }

    /** Calls the store if a call is due; returns what this process passes on, and to whom. */
    public step(now: number): Sent | undefined {
        const { pending } = this;
        if (pending !== undefined) {
            if (this.isDead || now < pending.at) {
                return undefined;
            }
            this.pending = undefined;
            return pending.finish(now);
        }
        if (this.isDead || now < this.relay.pollDueAt(now)) {
            return undefined;
        }
        this.store.calls += 1;
        this.relay.beginCall(now);
        if (this.store.isDown) {
            this.relay.recordFault(now);
            this.relay.begin(now + 300);
            return undefined;
        }
        if (this.isTurnedAway) {
            this.relay.recordFault(now);
            return undefined;
        }
        const puts = [...this.store.revisions]
            .filter(([, revision]) => revision > this.position)
            .map(([key, modRevision]) => ({ key, value: key, modRevision }));
        const { revision } = this.store;
        const event: ProgressEvent =
            puts.length === 0
                ? { kind: "progress", revision }
                : { kind: "changes", revision, puts, deletes: [] };
        const after = { era, revision: this.position };
        const finish = (at: number): Sent | undefined => {
            const response = this.relay.recordResponse(after, event, at);
            this.applyEvent(event);
            return response && { to: this.relay.receivers(at), ...response };
        };
        if (this.lateMilliseconds === 0) {
            return finish(now);
        }
        this.pending = { at: now + this.lateMilliseconds, finish };
        return undefined;
    }

    public isRelay(now: number): boolean {
        return this.relay.receivers(now).length > 0;
    }

    public receive(changes: RelayedChanges, mark: ReceivedMark | undefined, now: number): void {
        const outcome = this.relay.apply(changes, mark?.sequence, { era, revision: this.position }, now);
        this.markedAt = now;
        if (outcome.kind === "event" && !this.isDead) {
            this.applyEvent(outcome.event);
        }
    }

    private applyEvent(event: ProgressEvent): void {
        (event.kind === "changes" ? event.puts : []).forEach(put => this.known.set(put.key, put.modRevision));
        this.position = Math.max(this.position, event.revision);
    }
}

interface RunOptions {
    readonly entries: number;
    readonly until: number;
    readonly timing?: RelayTiming;
    /** Probability that a datagram is lost. */
    readonly loss?: number;
    readonly onStep?: (entries: readonly SimulatedEntry[], store: Simulation, now: number) => void;
}

/** Returns the calls to the store and the longest time for which a live process missed a change. */
function run(options: RunOptions): { readonly calls: number; readonly worstAge: number } {
    const store: Simulation = { revisions: new Map(), revision: 0, isDown: false, calls: 0 };
    const entries = Array.from(
        { length: options.entries },
        (_, index) => new SimulatedEntry(`entry-${index}`, store, options),
    );
    const writtenAt: number[] = [0];
    const queue: { readonly at: number; readonly to: string; readonly response: RelayedResponse }[] = [];
    let random = 1;
    let worstAge = 0;
    for (let now = 0; now < options.until; now += stepMilliseconds) {
        if (now % 130 === 0) {
            store.revision += 1;
            store.revisions.set(`key-${store.revision % 40}`, store.revision);
            writtenAt.push(now);
        }
        options.onStep?.(entries, store, now);
        const live = entries.filter(each => !each.isDead);
        live.forEach(each => each.hear(live, now));
        while (queue[0] !== undefined && queue[0].at <= now) {
            const { to, response } = queue.shift()!;
            entries.find(each => each.name === to)!.receive(response.changes, response.marks.get(to), now);
        }
        for (const entry of live) {
            const sent = entry.step(now);
            for (const to of sent?.to ?? []) {
                random = (random * 48_271) % 2_147_483_647;
                if (random / 2_147_483_647 >= (options.loss ?? 0)) {
                    queue.push({ at: now + networkMilliseconds, to, response: sent! });
                }
            }
            const isDisturbed = store.isDown || entry.lateMilliseconds > 0;
            const oldestMissed = isDisturbed ? undefined : writtenAt[entry.position + 1];
            worstAge = Math.max(worstAge, oldestMissed === undefined ? 0 : now - oldestMissed);
        }
    }
    return { calls: store.calls, worstAge };
}

/** A message may reach a process just before its own call is due, and the call itself takes a step. */
const toleranceMilliseconds = 2 * stepMilliseconds + networkMilliseconds;

test("two entry instances of a failure domain call the store, and all know each change as early as with own watches", t => {
    const relayed = run({ entries: 23, until: 30_000 });
    const separate = run({ entries: 23, until: 30_000, timing: { ...timing, isRelayed: false } });
    t.true(relayed.calls < separate.calls / 6, `${relayed.calls} and ${separate.calls} calls`);
    t.true(relayed.worstAge <= separate.worstAge + toleranceMilliseconds, `${relayed.worstAge} ms`);
});

test("relays that end and datagrams that are lost leave no state older than the bound", t => {
    const killTwo = (entries: readonly SimulatedEntry[], _: Simulation, now: number): void => {
        if (now % 5_000 === 2_000) {
            entries
                .filter(each => !each.isDead)
                .slice(0, 2)
                .forEach(each => (each.isDead = true));
        }
    };
    const { worstAge } = run({ entries: 23, until: 30_000, loss: 0.3, onStep: killTwo });
    t.true(worstAge <= timing.maximumStateAgeMilliseconds + toleranceMilliseconds, `${worstAge} ms`);
});

test("responses that relays handle late confirm no state older than the bound", t => {
    for (const lateMilliseconds of [600, 1_200, 2_400]) {
        const delayRelays = (entries: readonly SimulatedEntry[], _: Simulation, now: number): void => {
            if (now === 2_000) {
                entries
                    .filter(each => each.isRelay(now))
                    .forEach(each => (each.lateMilliseconds = lateMilliseconds));
            }
        };
        const { worstAge } = run({ entries: 23, until: 20_000, onStep: delayRelays });
        t.true(
            worstAge <= timing.maximumStateAgeMilliseconds + toleranceMilliseconds,
            `${worstAge} ms old with responses handled ${lateMilliseconds} ms late`,
        );
    }
});

test("processes that the store turns away follow one that it serves, also if both relays are turned away", t => {
    const { worstAge } = run({
        entries: 12,
        until: 16_000,
        onStep: (entries, _, now) => {
            if (now === 2_000) {
                const relays = entries.filter(each => each.isRelay(now));
                const follower = entries.find(each => !relays.includes(each))!;
                [...relays, follower].forEach(each => (each.isTurnedAway = true));
            }
        },
    });
    const allowed = timing.maximumStateAgeMilliseconds + timing.peerExpiryMilliseconds;
    t.true(worstAge <= allowed + toleranceMilliseconds, `${worstAge} ms`);
});

test("a message confirms what its receiver had sent before the call, however late it arrives, and nothing without it", t => {
    const names = Array.from({ length: 7 }, (_, index) => `entry-${index}`);
    const relays = names.map(name => ChangeRelay.create({ name, timing: () => timing }));
    relays.forEach(each => names.forEach(name => each.recordPeer(name, mark, 0)));
    const follower = relays.find(each => each.receivers(0).length === 0)!;
    follower.beginCall(0);
    follower.recordResponse({ era, revision: 20 }, { kind: "progress", revision: 20 }, 4);
    const older = { era, after: 10, revision: 12, puts: [], deletes: [], faultAge: undefined };
    const position = { era, revision: 20 };
    follower.apply(older, undefined, position, 1_000);
    t.is(follower.pollDueAt(1_000), timing.maximumStateAgeMilliseconds);
    follower.apply(older, 300, position, 1_100);
    t.is(follower.pollDueAt(1_100), 300 + timing.maximumStateAgeMilliseconds);
    follower.apply(older, 200, position, 1_200);
    t.is(follower.pollDueAt(1_200), 300 + timing.maximumStateAgeMilliseconds);
});

test("after an outage of the store every process catches up within the bound", t => {
    const downUntil = 12_000;
    let positionsAtReturn: readonly number[] = [];
    let revisionAtReturn = 0;
    run({
        entries: 12,
        until: downUntil + 3_000,
        onStep: (entries, store, now) => {
            store.isDown = now >= 8_000 && now < downUntil;
            if (now === downUntil) {
                revisionAtReturn = store.revision;
            }
            if (now === downUntil + timing.maximumStateAgeMilliseconds + 350) {
                positionsAtReturn = entries.map(({ position }) => position);
            }
        },
    });
    t.true(positionsAtReturn.length === 12 && positionsAtReturn.every(each => each >= revisionAtReturn));
});

test("changes that begin later than the known ones, or are of a newer era, lead to a call, and older eras to nothing", t => {
    const relay = ChangeRelay.create({ name: "entry-0", timing: () => timing });
    Array.from({ length: 6 }, (_, index) => relay.recordPeer(`entry-${index + 1}`, mark, 0));
    const followers = Array.from({ length: 7 }, (_, index) => `entry-${index}`);
    const follower = followers
        .map(name => {
            const each = ChangeRelay.create({ name, timing: () => timing });
            followers.filter(other => other !== name).forEach(other => each.recordPeer(other, mark, 0));
            return each;
        })
        .find(each => each.receivers(0).length === 0)!;
    const changes = { era, after: 10, revision: 12, puts: [], deletes: ["key"], faultAge: undefined };
    follower.begin(0);
    t.is(follower.apply(changes, 5, { era, revision: 9 }, 10).kind, "poll");
    t.is(follower.apply({ ...changes, era: 2 }, 5, { era, revision: 11 }, 10).kind, "poll");
    t.is(follower.apply({ ...changes, era: 0 }, 5, { era, revision: 11 }, 10).kind, "ignored");
    t.deepEqual(follower.apply(changes, 5, { era, revision: 11 }, 10), {
        kind: "event",
        event: { kind: "changes", revision: 12, puts: [], deletes: ["key"], isRelayed: true },
    });
    t.deepEqual(follower.apply(changes, 5, { era, revision: 15 }, 10), {
        kind: "event",
        event: { kind: "progress", revision: 15, isRelayed: true },
    });
});

test("a follower keeps its position when the store turns it away, as long as relays confirm it", t => {
    const names = Array.from({ length: 7 }, (_, index) => `entry-${index}`);
    const relays = names.map(name => ChangeRelay.create({ name, timing: () => timing }));
    relays.forEach(each => names.forEach(name => each.recordPeer(name, mark, 1_000)));
    const follower = relays.find(each => each.receivers(1_000).length === 0)!;
    follower.begin(0);
    follower.recordFault(900);
    t.is(follower.pollDueAt(900), 900 + retryMilliseconds);
    const changes = { era, after: 5, revision: 10, puts: [], deletes: [], faultAge: undefined };
    follower.apply(changes, 1_000, { era, revision: 10 }, 1_100);
    follower.recordFault(1_400);
    t.is(follower.pollDueAt(1_400), 1_000 + timing.maximumStateAgeMilliseconds);
    // The pause doubles with each call that fails.
    follower.recordFault(3_100);
    t.is(follower.pollDueAt(3_100), 3_100 + 4 * retryMilliseconds);
    follower.recordFault(4_400);
    t.is(follower.pollDueAt(4_400), 4_400 + 4 * retryMilliseconds);
});

test("a value that no datagram can hold is left out of the messages that follow it", t => {
    const relay = ChangeRelay.create({ name: "entry-0", timing: () => timing });
    relay.begin(0);
    const respond = (after: number, revision: number, value: string): RelayedChanges => {
        const puts = [{ key: `key-${revision}`, value, modRevision: revision }];
        const event: ProgressEvent = { kind: "changes", revision, puts, deletes: [] };
        return relay.recordResponse({ era, revision: after }, event, 0)!.changes;
    };
    t.is(respond(0, 1, "a").after, 0);
    const large = respond(1, 2, randomBytes(60_000).toString("base64"));
    t.deepEqual([large.after, large.revision, large.puts], [2, 2, []]);
    const next = respond(2, 3, "c");
    t.deepEqual([next.after, next.revision, next.puts.length], [2, 3, 1]);
});

test("a large value that can be compressed needs no earlier version at its receivers", t => {
    const names = Array.from({ length: 7 }, (_, index) => `entry-${index}`);
    const relays = names.map(name => ChangeRelay.create({ name, timing: () => timing }));
    relays.forEach(each => names.forEach(name => each.recordPeer(name, mark, 0)));
    const relay = relays.find(each => each.receivers(0).length > 0)!;
    const follower = relays.find(each => each.receivers(0).length === 0)!;
    const routes = Array.from({ length: 1_400 }, (_, index) => ({
        name: `route-${index}`,
        prefix: `/${index}/`,
    }));
    const puts = [{ key: "configuration", value: JSON.stringify(routes), modRevision: 5, createRevision: 1 }];
    const event: ProgressEvent = { kind: "changes", revision: 5, puts, deletes: [] };
    const { changes } = relay.recordResponse({ era, revision: 4 }, event, 0)!;
    const encoded = encodeChanges(changes);
    t.true(JSON.stringify(encoded).length < 20_000);
    const decoded = decodeChanges(encoded);
    t.deepEqual(follower.apply(decoded, 0, { era, revision: 4 }, 1), {
        kind: "event",
        event: { kind: "changes", revision: 5, puts, deletes: [], isRelayed: true },
    });
    const unreadable = decodeChanges({ ...encoded, compact: "unreadable" });
    t.is(follower.apply(unreadable, 0, { era, revision: 4 }, 1).kind, "poll");
});

test("a receiver gets only the changes that it lacks", t => {
    const put = (modRevision: number): KeyValueEntry => ({
        key: `key-${modRevision}`,
        value: "",
        modRevision,
    });
    const changes = {
        era,
        after: 10,
        revision: 20,
        puts: [put(12), put(18)],
        deletes: ["gone"],
        faultAge: undefined,
    };
    t.is(omitKnownChanges(changes, undefined), changes);
    t.is(omitKnownChanges(changes, { era, revision: 9 }), changes);
    t.is(omitKnownChanges(changes, { era: 2, revision: 15 }), changes);
    t.deepEqual(omitKnownChanges(changes, { era, revision: 15 }), { ...changes, after: 15, puts: [put(18)] });
    const nothing = { ...changes, after: 20, puts: [], deletes: [] };
    t.deepEqual(omitKnownChanges(changes, { era, revision: 20 }), nothing);
    t.deepEqual(omitKnownChanges(changes, { era, revision: 25 }), nothing);
});

test("changes of a large value are restored from edits by those who know their base; the others call the store", t => {
    const routes = Array.from({ length: 300 }, (_, index) => ({
        name: `route-${index}`,
        prefix: "/".repeat(90),
    }));
    const version = (number: number): KeyValueEntry => ({
        key: "configuration",
        value: JSON.stringify({ number, routes: routes.filter((_, index) => index !== number) }),
        modRevision: 10 * number,
    });
    const names = Array.from({ length: 7 }, (_, index) => `entry-${index}`);
    const relays = names.map(name => ChangeRelay.create({ name, timing: () => timing }));
    relays.forEach(each => names.forEach(name => each.recordPeer(name, mark, 0)));
    const relay = relays.find(each => each.receivers(0).length > 0)!;
    const respond = (from: number, to: number): RelayedChanges => {
        const event: ProgressEvent = { kind: "changes", revision: 10 * to, puts: [version(to)], deletes: [] };
        return relay.recordResponse({ era, revision: 10 * from }, event, 0)!.changes;
    };
    relay.recordEntries(era, [version(1)]);
    respond(1, 2);
    const changes = respond(2, 3);
    // Without the edits, the message only announces its revision.
    t.deepEqual([changes.after, changes.revision, changes.puts], [30, 30, []]);
    t.true(JSON.stringify(changes).length < 2_000);
    const createFollower = (known: readonly KeyValueEntry[]): ChangeRelay => {
        const name = names[relays.findIndex(each => each.receivers(0).length === 0)]!;
        const follower = ChangeRelay.create({ name, timing: () => timing });
        names.forEach(each => follower.recordPeer(each, mark, 0));
        follower.recordEntries(era, known);
        return follower;
    };
    const restored = {
        kind: "event",
        event: { kind: "changes", revision: 30, puts: [version(3)], deletes: [], isRelayed: true },
    };
    t.deepEqual(createFollower([version(1)]).apply(changes, 0, { era, revision: 10 }, 1), restored);
    t.deepEqual(
        createFollower([version(1), version(2)]).apply(changes, 0, { era, revision: 25 }, 1),
        restored,
    );
    const lacking = omitKnownChanges(changes, { era, revision: 20 });
    t.deepEqual(
        createFollower([version(1), version(2)]).apply(lacking, 0, { era, revision: 20 }, 1),
        restored,
    );
    t.is(createFollower([version(1)]).apply(changes, 0, { era, revision: 9 }, 1).kind, "poll");
    t.is(createFollower([version(2)]).apply(changes, 0, { era, revision: 20 }, 1).kind, "poll");
    const other = { ...version(1), value: version(2).value };
    t.is(createFollower([other]).apply(changes, 0, { era, revision: 10 }, 1).kind, "poll");
    t.deepEqual(omitKnownChanges(changes, { era, revision: 30 }).compact, undefined);
});
