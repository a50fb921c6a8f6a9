import test from "ava";
import { NEVER } from "rxjs";
import type { KeyValueStore } from "../../../contracts/key-value-stores.js";
import type { SendOutcome } from "../../../contracts/services.js";
import type { Fault } from "../../../core/errors.js";
import { fail } from "../../../core/errors.js";
import type { Instance } from "../../../core/instances.js";
import { createRandomGenerator } from "../../../core/random-numbers.js";
import { RetryBudget } from "../../../core/retry-budget.js";
import { createServiceCalls } from "../service-calls.js";

const wall = 0x0190_0000_0000;
const fault: Fault = { code: "endpointFailed", message: "lost", step: "send", notRun: false };
const unknown: SendOutcome = { kind: "unknown", fault };
const notRun: SendOutcome = { kind: "notRun", fault: { ...fault, notRun: true } };
const answered: SendOutcome = { kind: "answered", answer: { status: 200, body: "manifest" } };
const unused = async () => fail<never>(fault);
const store: KeyValueStore = {
    list: unused,
    get: unused,
    compareAndSwap: async () => ({ kind: "swapped", revision: 1 }),
    grantLease: unused,
    renewLease: unused,
    revokeLease: unused,
    watch: () => NEVER,
};
const base = {
    caller: { team: "kelani", subscriber: "driver-1" },
    service: "depot",
    method: "GET",
    path: "/manifests/7",
    body: "",
    idempotent: true,
    deadline: 1_000,
};
const key = "01900000-0000-7abc-8def-000000000001";

function createCalls(outcomes: readonly (SendOutcome | Error)[], retries = 2) {
    const sentTo: string[] = [];
    const instances = ["a", "b", "c"].map(id => ({ id }) as Instance);
    const calls = createServiceCalls({
        store,
        send: async (_, { id }) => {
            const outcome = outcomes[sentTo.push(id) - 1] ?? answered;
            if (outcome instanceof Error) {
                throw outcome;
            }
            return outcome;
        },
        route: (_, tried) => instances.find(({ id }) => !tried.includes(id)),
        clock: { monotonicMilliseconds: () => 0, wallMilliseconds: () => wall },
        random: createRandomGenerator(1),
        record: () => undefined,
        retryBudget: RetryBudget.create({ fraction: 0, reserve: retries }),
        schedule: () => undefined,
    });
    return { calls, sentTo };
}

test("retries an idempotent call on other instances within the retry budget", async t => {
    const sufficient = createCalls([unknown, new Error("broken link")]);
    t.like(await sufficient.calls.run({ ...base, id: "r" }), {
        kind: "answered",
        answer: { body: "manifest" },
    });
    t.deepEqual(sufficient.sentTo, ["a", "b", "c"]);
    const exhausted = createCalls([unknown, notRun], 1);
    const outcome = await exhausted.calls.run({ ...base, id: "r" });
    t.like(outcome, { kind: "refused", fault: { notRun: false } }, "the first attempt may have run");
    t.deepEqual(exhausted.sentTo, ["a", "b"]);
});

test("sends a call that is not idempotent and has no key once, whatever its outcome", async t => {
    for (const [first, isNotRun] of [
        [unknown, false],
        [notRun, true],
        [new Error("broken link"), false],
    ] as const) {
        const { calls, sentTo } = createCalls([first]);
        const outcome = await calls.run({ ...base, id: "r", idempotent: false });
        t.like(outcome, { kind: "refused", fault: { notRun: isNotRun } });
        t.deepEqual(sentTo, ["a"]);
    }
});

test("retries a call with a key only if it is proved not to have run, then answers it or releases its claim", async t => {
    const call = { ...base, id: "r", idempotent: false, key };
    const repeated = createCalls([notRun]);
    t.like(await repeated.calls.run(call), { kind: "answered", isReplay: false });
    t.deepEqual(repeated.sentTo, ["a", "b"]);
    t.like(await repeated.calls.run({ ...call, id: "r2" }), { kind: "answered", isReplay: true });
    await repeated.calls.whenIdle();
    const lost = createCalls([unknown]);
    t.like(await lost.calls.run(call), { kind: "refused", fault: { code: "outcomeUnknown" } });
    t.deepEqual(lost.sentTo, ["a"]);
    const refused = createCalls([notRun, notRun, notRun], 9);
    t.like(await refused.calls.run(call), { kind: "refused", fault: { notRun: true } });
    t.deepEqual(refused.sentTo, ["a", "b", "c"]);
    t.like(
        await refused.calls.run({ ...call, id: "r3" }),
        { kind: "answered" },
        "the claim on its key was released",
    );
});

test("does not send a call whose deadline has passed", async t => {
    const { calls, sentTo } = createCalls([]);
    const late = { ...base, id: "r", deadline: 0 };
    t.like(await calls.run(late), { kind: "refused", fault: { code: "deadlinePassed", notRun: true } });
    const keyed = { ...late, idempotent: false, key };
    t.like(await calls.run(keyed), { kind: "refused", fault: { code: "deadlinePassed", notRun: true } });
    t.deepEqual(sentTo, []);
});
