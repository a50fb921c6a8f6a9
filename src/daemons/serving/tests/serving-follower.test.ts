import test from "ava";
import { NEVER } from "rxjs";
import type { KeyValueStore } from "../../../contracts/key-value-stores.js";
import type { Fault, Result } from "../../../core/errors.js";
import { fail, succeed } from "../../../core/errors.js";
import type { ServingConfiguration } from "../../../serving/serving-configuration.js";
import { createServingMetrics } from "../../../serving/serving-metrics.js";
import { ServingFollower } from "../serving-follower.js";

const limits = { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 };

const lost: Fault = { code: "storeUnavailable", message: "lost", step: "store", notRun: false };

function unused(): never {
    throw new Error("the test expects no such call");
}

/** A store whose watch reports nothing and whose configuration has the given version. */
function createStore(version: () => number): { readonly store: KeyValueStore; readonly reads: () => number } {
    let reads = 0;
    const entries = () => [{ key: "configuration", value: String(version()), modRevision: version() }];
    const store: KeyValueStore = {
        list: () => Promise.resolve(succeed({ revision: 1, entries: entries() })),
        get: () => {
            reads += 1;
            return Promise.resolve(succeed({ revision: 1, entries: entries() }));
        },
        watch: () => NEVER,
        compareAndSwap: unused,
        grantLease: unused,
        renewLease: unused,
        revokeLease: unused,
    };
    return { store, reads: () => reads };
}

/** Starts to follow a store; `versions`: those that took effect. */
function createFollower(
    store: KeyValueStore,
    now: () => number,
    configurationReadDelayMilliseconds: number,
): {
    readonly follower: ServingFollower;
    readonly versions: readonly number[];
    readonly parsedCount: () => number;
} {
    const versions: number[] = [];
    let parsed = 0;
    const ignore = (): void => undefined;
    const follower = ServingFollower.create({
        store,
        clock: { monotonicMilliseconds: now, wallMilliseconds: now },
        random: () => 0.5,
        configurationKey: "configuration",
        parseConfiguration: text => {
            parsed += 1;
            return succeed({
                version: Number(text),
                routes: [],
                services: [],
                workspaces: [],
                limits,
            } as unknown as ServingConfiguration);
        },
        instancePrefix: "instances/",
        parseRegistration: () => undefined,
        peerPrefix: "peers/",
        placementPrefix: "placement/",
        quarantinePrefix: "chervil/quarantines/",
        evacuationPrefix: "evacuated/",
        stateAge: () => ({ now: 0, before: 0, sinceCall: 0 }),
        onEvacuations: ignore,
        onQuarantines: () => undefined,
        peerReadIntervalMilliseconds: () => 60_000,
        configurationReadDelayMilliseconds: () => configurationReadDelayMilliseconds,
        arePeersSettled: () => true,
        onConfiguration: table => versions.push(table.configuration.version),
        onFleet: ignore,
        onPeers: ignore,
        log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
        metrics: createServingMetrics(),
    });
    return { follower, versions, parsedCount: () => parsed };
}

const settle = (): Promise<void> => new Promise(resolve => setImmediate(resolve));

test("a version that a peer announces is read before the watch shows it, and older ones are not read", async t => {
    let now = 0;
    let version = 1;
    const { store, reads } = createStore(() => version);
    const { follower, versions } = createFollower(store, () => now, 0);
    follower.tick();
    await settle();
    t.deepEqual(versions, [1]);
    version = 4;
    now = 1_000;
    follower.learnVersion(1);
    t.is(reads(), 0);
    follower.learnVersion(4);
    follower.learnVersion(4);
    await settle();
    t.deepEqual(versions, [1, 4]);
    t.is(reads(), 1);
    follower.close();
});

test("peers that do not have a newer version yet do not put off the read of one that others announce", async t => {
    let now = 0;
    let version = 1;
    const { store } = createStore(() => version);
    const { follower, versions } = createFollower(store, () => now, 800);
    follower.tick();
    await settle();
    version = 2;
    for (now = 100; now <= 1_000; now += 100) {
        follower.learnVersion(2);
        follower.learnVersion(1);
    }
    await settle();
    t.deepEqual(versions, [1, 2]);
    follower.close();
});

test("a configuration that several sources bring is parsed once", async t => {
    let now = 0;
    let version = 1;
    const { store } = createStore(() => version);
    const { follower, versions, parsedCount } = createFollower(store, () => now, 0);
    follower.tick();
    await settle();
    version = 2;
    now = 1_000;
    follower.learnVersion(2);
    now = 2_000;
    follower.learnVersion(2);
    await settle();
    t.deepEqual(versions, [1, 2]);
    t.is(parsedCount(), 2);
    follower.close();
});

test("a configuration that takes two seconds to arrive is read, at the start and when peers announce it", async t => {
    let now = 0;
    let calls = 0;
    let underWay: { readonly at: number; readonly respond: () => void }[] = [];
    const { store } = createStore(() => 1);
    const delay = async <T>(deadline: number, response: Promise<Result<T>>): Promise<Result<T>> => {
        calls += 1;
        await new Promise<void>(respond => underWay.push({ at: now + 2_000, respond }));
        return now > deadline ? fail(lost) : response;
    };
    const slowStore: KeyValueStore = {
        ...store,
        list: (prefix, options) => delay(options.deadline, store.list(prefix, options)),
        get: (_, options) => {
            const entries = [{ key: "configuration", value: "2", modRevision: 2 }];
            return delay(options.deadline, Promise.resolve(succeed({ revision: 2, entries })));
        },
    };
    const { follower, versions } = createFollower(slowStore, () => now, 0);
    const runUntil = async (end: number, act: () => void): Promise<void> => {
        for (; now < end; now += 100) {
            act();
            underWay.filter(({ at }) => at <= now).forEach(({ respond }) => respond());
            underWay = underWay.filter(({ at }) => at > now);
            await settle();
        }
    };
    await runUntil(2_500, () => follower.tick());
    t.deepEqual(versions, [1]);
    await runUntil(5_000, () => follower.learnVersion(2));
    t.deepEqual(versions, [1, 2]);
    // Several reads of a large configuration at a time would slow each other down.
    t.is(calls, 2);
    follower.close();
});
