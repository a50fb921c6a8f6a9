import test from "ava";
import type { Observable } from "rxjs";
import { firstValueFrom, takeWhile, toArray } from "rxjs";
import type { EngineDispatch, EngineEvent, OrderKind } from "../../src/contracts/engines.js";
import type { Instance } from "../../src/core/instances.js";
import { unwrap } from "../../src/core/errors.js";
import { systemClock } from "../../src/links/system-clock.js";
import { createEngines } from "../../src/links/engines.js";
import { answerTokens } from "../answer-tokens.js";
import { Deployment } from "../deployment.js";
import { standInSettingsSchema } from "../settings.js";

const now = systemClock.monotonicMilliseconds;
const engines = createEngines(systemClock);
const model = { model: "chervil-large", version: "1" };

interface Fixture {
    readonly deployment: Deployment;
    readonly instances: readonly Instance[];
    readonly order: (kind: OrderKind, epoch: number, group?: string) => Promise<boolean[]>;
    readonly dispatch: (from: number, delivered: string, attempt?: number) => EngineDispatch;
}

/** Waits without a time-out of its own, since a busy machine is slow; the test run's time-out applies. */
async function waitUntil(isTrue: () => Promise<boolean>): Promise<void> {
    while (!(await isTrue())) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

async function withGroup(run: (fixture: Fixture) => Promise<void>): Promise<void> {
    const settings = standInSettingsSchema.parse({
        admin: { listen: "127.0.0.1:0" },
        platform: { listen: "127.0.0.1:0" },
        fabricDomains: [{ id: "fabric", failureDomain: "zone", engines: 2 }],
        engines: { tokenMilliseconds: 2, loadMilliseconds: 5, warmLoadMilliseconds: 1 },
    });
    const deployment = await Deployment.create(settings, now);
    const instances = deployment
        .platform()
        .data.range("platform/instances/", "platform/instances0")
        .map(entry => JSON.parse(entry.value) as Instance);
    const members = instances.map(instance => instance.id);
    const order = async (kind: OrderKind, epoch: number, group = "g"): Promise<boolean[]> => {
        const deadline = now() + 5000;
        const responses = instances.map(instance =>
            engines.order(instance, { kind, group, epoch, model, members, deadline }),
        );
        return (await Promise.all(responses)).map(response => unwrap(response).accepted);
    };
    const dispatch = (fromOffset: number, delivered: string, attempt = 1): EngineDispatch => ({
        request: {
            id: "r/1",
            caller: { team: "t", subscriber: "s" },
            model: model.model,
            prompt: "one two",
            promptTokens: 2,
            maximumTokens: 20,
            priority: 0,
            deadline: now() + 10_000,
        },
        attempt,
        group: "g",
        epoch: 2,
        leader: instances[0]!,
        delivered,
        fromOffset,
    });
    try {
        await run({ deployment, instances, order, dispatch });
    } finally {
        deployment.close();
    }
}

async function startServing(fixture: Fixture): Promise<void> {
    await fixture.order("load", 1);
    while ((await fixture.order("serve", 2)).includes(false)) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
}

async function textOf(events: Observable<EngineEvent>): Promise<string> {
    const all = await firstValueFrom(events.pipe(toArray()));
    const tokens = all.flatMap(event => (event.kind === "token" ? [event.text] : []));
    return tokens.join("") + (all[all.length - 1]?.kind === "finished" ? "." : "!");
}

const expectedTokens = answerTokens("one two", 20);

test("a continuation after delivered text yields the same tokens", async t => {
    await withGroup(async fixture => {
        await startServing(fixture);
        t.is(await textOf(engines.start(fixture.dispatch(0, ""))), `${expectedTokens.join("")}.`);
        const delivered = expectedTokens.slice(0, 7).join("");
        const rest = await textOf(engines.start(fixture.dispatch(7, delivered, 2)));
        t.is(rest, `${expectedTokens.slice(7).join("")}.`);
    });
});

test("a stream resumes after its connection breaks, and is deleted once cancelled", async t => {
    await withGroup(async fixture => {
        await startServing(fixture);
        await firstValueFrom(
            engines.start(fixture.dispatch(0, "")).pipe(
                takeWhile(event => event.kind !== "token" || event.offset < 3),
                toArray(),
            ),
        );
        const rest = await textOf(engines.resume(fixture.dispatch(3, "")));
        t.is(rest, `${expectedTokens.slice(3).join("")}.`);
        await engines.cancel(fixture.instances[0]!, "r/1", 0, now() + 1000);
        const kept = await textOf(engines.resume(fixture.dispatch(3, "")));
        t.is(kept, rest, "a cancel of an earlier attempt must not end a stream that a later one has read");
        await engines.cancel(fixture.instances[0]!, "r/1", 1, now() + 1000);
        t.is(await textOf(engines.resume(fixture.dispatch(3, ""))), "!");
    });
});

test("orders with stale fencing numbers are refused unless ignoredFencing is on", async t => {
    await withGroup(async fixture => {
        await startServing(fixture);
        t.deepEqual(await fixture.order("drain", 1), [false, false]);
        t.deepEqual(await fixture.order("load", 9, "other"), [false, false]);
        fixture.deployment.faults.switchOn({ target: "fabric", fault: "ignoredFencing", deadline: Infinity });
        t.deepEqual(await fixture.order("drain", 1), [true, true]);
    });
});

test("a killed member stops its group and restarts without state", async t => {
    await withGroup(async fixture => {
        await startServing(fixture);
        const { faults } = fixture.deployment;
        const [, member] = fixture.instances;
        faults.switchOn({ target: member!.id, fault: "killed", deadline: Infinity });
        const events: EngineEvent[] = [];
        const reading = engines.start(fixture.dispatch(0, "")).subscribe(event => events.push(event));
        const probe = await engines.probe(member!, now() + 200);
        t.false(probe.success);
        await waitUntil(() => Promise.resolve(events.length > 0));
        await new Promise(resolve => setTimeout(resolve, 30));
        t.deepEqual(
            events.map(event => event.kind),
            ["accepted"],
        );
        reading.unsubscribe();
        const leader = fixture.deployment.engines[0]!.describe();
        t.is(leader.acceptedWhileIncomplete, 1);
        t.true(leader.lastAcceptedAfterLossMilliseconds > 0);
        faults.switchOff(member!.id, "killed");
        await waitUntil(async () => (await engines.probe(member!, now() + 2000)).success);
        const restarted = unwrap(await engines.probe(member!, now() + 2000));
        t.deepEqual([restarted.incarnation, restarted.state, restarted.warm.length], [2, "idle", 0]);
    });
});

test("doubled and reordered events still contain every token", async t => {
    await withGroup(async fixture => {
        await startServing(fixture);
        for (const fault of ["doubledEvents", "reorderedEvents"]) {
            fixture.deployment.faults.switchOn({ target: "engines", fault, deadline: Infinity });
        }
        const events = await firstValueFrom(engines.start(fixture.dispatch(0, "")).pipe(toArray()));
        const offsets = events.flatMap(event => (event.kind === "token" ? [event.offset] : []));
        t.deepEqual(offsets.slice(0, 4), [1, 1, 0, 0]);
        t.is(new Set(offsets).size, 20);
    });
});
