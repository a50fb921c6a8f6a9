import test from "ava";
import type { KeyValueEntry, SwapOutcome } from "../../contracts/key-value-stores.js";
import { maximumClaimableLength, toRecordedResponse, safeParseClaims } from "../claim-records.js";
import type { ClaimCommand } from "../claim-rules.js";
import { defaultClaimOptions } from "../claim-rules.js";
import { ClaimStateMachine } from "../claim-state-machine.js";
import type { Fault } from "../errors.js";
import { fail, succeed } from "../errors.js";

const wall = 0x0190_0000_0000;
const at = (now: number) => ({ now, wallNow: wall + now });
const storeUnavailableFault: Fault = { code: "storeUnavailable", message: "", step: "store", notRun: true };
const answer = { status: 201, body: "booked" };

function createMachine(nonce: string): ClaimStateMachine {
    let count = 0;
    const createNonce = () => `${nonce}-${(count += 1)}`;
    return ClaimStateMachine.create({ ...defaultClaimOptions, shards: 1, createNonce });
}

function request(name: string, key = 0, digest = "d", isRepeat = false) {
    const text = `01900000-0000-7abc-8def-00000000000${key}`;
    return { request: name, key: text, digest, deadline: 1_000, isRepeat };
}

function swapOf(commands: readonly ClaimCommand[]) {
    const command = commands.find(({ kind }) => kind === "swap");
    return command?.kind === "swap" ? command.swap : { key: "", expectedRevision: -1, value: "" };
}

function entryOf(commands: readonly ClaimCommand[], modRevision: number): KeyValueEntry {
    const { key, value } = swapOf(commands);
    return { key, value: value ?? "", modRevision };
}

const swapped = (revision: number): SwapOutcome => ({ kind: "swapped", revision });
const ambiguous: SwapOutcome = { kind: "ambiguous", fault: storeUnavailableFault };

test("a claim is written before it is granted, waiting claims share a write, and outcomes are written afterwards", t => {
    const machine = createMachine("a");
    const first = machine.claim(request("r0"), at(0));
    t.deepEqual(
        first.map(({ kind }) => kind),
        ["swap"],
    );
    t.is(swapOf(first).expectedRevision, 0);
    t.deepEqual(machine.claim(request("r1", 1), at(1)), []);
    t.deepEqual(machine.claim(request("r2", 2), at(1)), []);
    const second = machine.handleSwapOutcome(swapOf(first).key, swapped(5), at(2));
    t.deepEqual(second[0], { kind: "granted", request: "r0" });
    t.is(swapOf(second).expectedRevision, 5);
    const parsed = safeParseClaims(swapOf(second).value ?? "");
    t.is(parsed.success ? parsed.data.size : 0, 3);
    t.is(machine.startSending("r0", at(3)), undefined);
    t.deepEqual(machine.claim(request("r0b", 0), at(4)), [], "a retry waits for the running call");
    const settled = machine.settle("r0", { kind: "answered", answer }, at(5));
    t.deepEqual(settled, [{ kind: "replay", request: "r0b", answer }]);
    machine.handleSwapOutcome(swapOf(first).key, swapped(6), at(6));
    machine.handleSwapOutcome(swapOf(first).key, swapped(7), at(7));
    t.deepEqual(machine.claim(request("r0c", 0), at(8)), [{ kind: "replay", request: "r0c", answer }]);
});

test("a claim of another entry instance is in progress, then unknown, then replayed; a key mismatch reveals nothing", t => {
    const other = createMachine("b");
    const claimed = entryOf(other.claim(request("b0"), at(0)), 5);
    other.handleSwapOutcome(claimed.key, swapped(5), at(1));
    other.startSending("b0", at(1));
    const done = entryOf(other.settle("b0", { kind: "answered", answer }, at(2)), 6);
    const claimAgainst = (current: KeyValueEntry, now: number, digest = "d") => {
        const machine = createMachine("a");
        const { key } = swapOf(machine.claim({ ...request("a0", 0, digest), deadline: 9_000 }, at(now)));
        return machine.handleSwapOutcome(key, { kind: "conflict", revision: 9, current }, at(now))[0];
    };
    t.like(claimAgainst(claimed, 10), { kind: "refused", fault: { code: "inProgress", notRun: false } });
    t.like(claimAgainst(claimed, 1_001), {
        kind: "refused",
        fault: { code: "outcomeUnknown", notRun: false },
    });
    t.deepEqual(claimAgainst(done, 10), { kind: "replay", request: "a0", answer });
    t.like(claimAgainst(done, 10, "other"), {
        kind: "refused",
        fault: { code: "keyMismatch", notRun: false },
    });
});

test("after a lost response the value is read back, and the claim is granted if the value has its nonce", t => {
    const machine = createMachine("a");
    const first = machine.claim(request("r0"), at(0));
    const { key } = swapOf(first);
    t.like(machine.handleSwapOutcome(key, ambiguous, at(500)), [{ kind: "read", storeKey: key }]);
    const read = machine.handleReadResponse(
        key,
        succeed({ revision: 9, entries: [entryOf(first, 9)] }),
        at(501),
    );
    t.deepEqual(read, [{ kind: "granted", request: "r0" }]);
    t.like(machine.startSending("r0", at(1_000))?.[0], { kind: "refused", fault: { notRun: true } });
});

test("a claim abandoned after a lost response is fenced, so that a late write cannot block its key", t => {
    const machine = createMachine("a");
    const first = machine.claim(request("r0"), at(0));
    const { key } = swapOf(first);
    machine.handleSwapOutcome(key, ambiguous, at(500));
    t.like(machine.handleReadResponse(key, fail(storeUnavailableFault), at(600))[0], {
        kind: "refused",
        fault: { notRun: true },
    });
    t.like(machine.tick(at(900)), [{ kind: "read" }]);
    const fence = machine.handleReadResponse(key, succeed({ revision: 3, entries: [] }), at(901));
    t.is(swapOf(fence).expectedRevision, 0, "the fence takes the revision that the lost write expects");
    t.false(machine.isIdle());
    machine.handleSwapOutcome(key, swapped(4), at(902));
    t.true(machine.isIdle());
});

test("keyed calls are refused at once while the store is unreachable, and a retry is never reported as not run", t => {
    const machine = createMachine("a");
    const { key } = swapOf(machine.claim(request("r0"), at(0)));
    const refusal = machine.handleSwapOutcome(
        key,
        { kind: "notSent", fault: storeUnavailableFault },
        at(1),
    )[0];
    t.like(refusal, { kind: "refused", fault: { code: "storeUnavailable", notRun: true, retryAt: 101 } });
    t.like(machine.claim(request("r1", 1), at(2))[0], { kind: "refused", fault: { notRun: true } });
    t.like(machine.claim(request("r2", 1, "d", true), at(3))[0], { fault: { notRun: false } });
    t.is(machine.claim(request("r3", 1), at(102))[0]?.kind, "swap");
});

test("the caller gets its response while the store is unreachable, and the outcome is recorded later", t => {
    const machine = createMachine("a");
    const { key } = swapOf(machine.claim(request("r0"), at(0)));
    machine.handleSwapOutcome(key, swapped(1), at(1));
    machine.startSending("r0", at(1));
    machine.settle("r0", { kind: "answered", answer }, at(2));
    machine.handleSwapOutcome(key, { kind: "notSent", fault: storeUnavailableFault }, at(3));
    t.deepEqual(machine.claim(request("r1"), at(4)), [{ kind: "replay", request: "r1", answer }]);
    t.deepEqual(machine.tick(at(50)), []);
    t.is(machine.tick(at(200))[0]?.kind, "swap");
    machine.handleSwapOutcome(key, swapped(2), at(201));
    t.true(machine.isIdle());
});

test("a call proved not to have run releases its key before it is refused", t => {
    const machine = createMachine("a");
    const { key } = swapOf(machine.claim(request("r0"), at(0)));
    machine.handleSwapOutcome(key, swapped(1), at(1));
    machine.startSending("r0", at(1));
    machine.recordNotRun("r0");
    const release = machine.release("r0", { ...storeUnavailableFault, code: "noEndpoint" }, at(2));
    t.deepEqual(
        release.map(({ kind }) => kind),
        ["swap"],
    );
    t.deepEqual(machine.startSending("r0", at(2)), [], "nothing is sent after a release");
    t.like(machine.handleSwapOutcome(key, swapped(2), at(3))[0], {
        kind: "refused",
        fault: { code: "noEndpoint" },
    });
});

test("stored values are bounded: long bodies are omitted, and a full value accepts no more claims", t => {
    t.deepEqual(toRecordedResponse({ status: 200, body: "x".repeat(5_000) }), {
        status: 200,
        contentType: undefined,
        body: "",
        bodyOmitted: true,
    });
    const machine = createMachine("a");
    const { key } = swapOf(machine.claim(request("r0"), at(0)));
    const record = { digest: "x".repeat(maximumClaimableLength), nonce: "n", state: "claimed", until: 0 };
    const value = JSON.stringify({ writer: "w", claims: { other: record } });
    const current = { key, value, modRevision: 3 };
    const refusal = machine.handleSwapOutcome(key, { kind: "conflict", revision: 3, current }, at(1))[0];
    t.like(refusal, { kind: "refused", fault: { code: "overloaded", notRun: true } });
});

test("a value that cannot be parsed or has disappeared grants no claim", t => {
    const machine = createMachine("a");
    const { key } = swapOf(machine.claim(request("r0"), at(0)));
    const current = { key, value: "{}", modRevision: 3 };
    const refusal = machine.handleSwapOutcome(key, { kind: "conflict", revision: 3, current }, at(1))[0];
    t.like(refusal, { kind: "refused", fault: { code: "storeUnavailable" } });
    const other = createMachine("b");
    other.claim(request("r0"), at(0));
    other.handleSwapOutcome(key, swapped(1), at(1));
    other.claim(request("r1", 1), at(2));
    const gone = other.handleSwapOutcome(
        key,
        { kind: "conflict", revision: 9, current: undefined },
        at(3),
    )[0];
    t.like(gone, { kind: "refused", fault: { code: "storeUnavailable" } });
    other.startSending("r0", at(4));
    t.like(other.settle("r0", { kind: "answered", answer }, at(4)), [{ kind: "read" }]);
    t.deepEqual(other.handleReadResponse(key, succeed({ revision: 9, entries: [] }), at(5)), []);
    t.true(other.isIdle(), "an outcome is dropped if no value is left to record it in");
});
