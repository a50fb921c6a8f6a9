import test from "ava";
import type { EngineEvent } from "../../contracts/engines.js";
import { AnswerLog } from "../answer-log.js";
import type { AnswerOptions } from "../answer-options.js";
import { defaultAnswerOptions } from "../answer-options.js";

function createLog(options: Partial<AnswerOptions> = {}): AnswerLog {
    return AnswerLog.create({ ...defaultAnswerOptions, request: "r", deadline: 60_000, ...options }, 0);
}

function token(offset: number, attempt = 1, request = "r") {
    return { request, attempt, event: { kind: "token", offset, text: `t${offset} ` } satisfies EngineEvent };
}

function finished(nextOffset: number, attempt = 1) {
    return {
        request: "r",
        attempt,
        event: { kind: "finished", reason: "stop", nextOffset } satisfies EngineEvent,
    };
}

function failed(code: "endpointFailed" | "invalidRequest" | "notFound", attempt = 1, notRun = false) {
    const fault = { code, message: "", step: "stream", notRun } as const;
    return { request: "r", attempt, event: { kind: "failed", fault } satisfies EngineEvent };
}

test("tokens are delivered once and in order, and both tokens and the end wait for missing tokens", t => {
    const log = createLog();
    t.deepEqual(log.handleEvent(token(1), 1).commands, []);
    t.deepEqual(log.handleEvent(finished(3), 2).commands, []);
    t.deepEqual(log.handleEvent(token(0, 1, "other"), 3).commands, []);
    const step = log.handleEvent(token(0), 4);
    t.deepEqual(
        step.commands.map(command => command.kind),
        ["deliver", "deliver"],
    );
    t.deepEqual(log.handleEvent(token(1), 5).commands, []);
    t.deepEqual(log.handleEvent(token(2), 6).commands, [
        { kind: "deliver", offset: 2, text: "t2 " },
        { kind: "finish", reason: "stop", nextOffset: 3 },
    ]);
    t.deepEqual(log.handleEvent(token(3), 7), { commands: [], nextTick: undefined });
});

test("a lost stream is first resumed on its engine and then restarted on a replica with the delivered text", t => {
    const log = createLog();
    log.handleEvent(token(0), 1);
    t.deepEqual(log.handleStreamClosed(1, 2).commands, [
        { kind: "detach", attempt: 1 },
        { kind: "resume", attempt: 2, fromOffset: 1 },
    ]);
    t.deepEqual(log.handleEvent(token(1, 1), 3).commands, [], "events of an earlier attempt are ignored");
    t.deepEqual(log.handleEvent(failed("notFound", 2), 4).commands, [
        { kind: "cancel", attempt: 2 },
        { kind: "restart", attempt: 3, fromOffset: 1, delivered: "t0 " },
    ]);
    t.is(log.handleEvent(token(1, 3), 5).commands[0]?.kind, "deliver");
});

test("a stream counts as stalled after a multiple of the mean gap between its tokens", t => {
    const log = createLog();
    for (let offset = 0; offset < 20; offset += 1) {
        log.handleEvent(token(offset), 100 + offset * 50);
    }
    t.deepEqual(log.tick(1_500).commands, []);
    t.is(log.tick(2_200).commands[1]?.kind, "resume");
});

test("attempts that ran nothing are retried until the deadline; what may have run is never reported as not run", t => {
    const options = { maximumLossesAfterStart: 0, restartDelay: () => 10 };
    const refused = createLog(options);
    t.is(refused.handleEvent(failed("endpointFailed", 1, true), 1).nextTick, 11);
    t.is(refused.tick(11).commands[0]?.kind, "restart");
    refused.handleEvent(failed("endpointFailed", 2, true), 59_999);
    t.like(refused.tick(60_000).commands, [
        { kind: "fail", fault: { code: "deadlinePassed", notRun: true } },
    ]);
    const accepted = createLog(options);
    accepted.handleEvent({ request: "r", attempt: 1, event: { kind: "accepted" } }, 1);
    t.like(accepted.handleEvent(failed("endpointFailed", 1), 2).commands[1], { fault: { notRun: false } });
    const silent = createLog({ ...options, mayRetry: () => false, maximumLossesAfterStart: 1 });
    t.is(silent.tick(10_000).commands[1]?.kind, "resume", "an attempt that stalled may have run");
    t.like(silent.handleEvent(failed("endpointFailed", 2, true), 10_001).commands[1], {
        fault: { notRun: false },
    });
    t.like(createLog().handleEvent(failed("invalidRequest", 1, true), 2).commands[1], { kind: "fail" });
    const unbudgeted = createLog({ mayRetry: (_, nextOffset) => nextOffset > 0 });
    t.like(unbudgeted.handleEvent(failed("endpointFailed", 1, true), 1).commands[1], {
        fault: { notRun: true },
    });
});

test("a slow caller detaches the stream, and taking tokens resumes it", t => {
    const log = createLog({ maximumUntakenTokens: 2 });
    log.handleEvent(token(0), 1);
    t.deepEqual(log.handleEvent(token(1), 2).commands[1], { kind: "detach", attempt: 1 });
    t.deepEqual(log.tick(50_000).commands, [], "a detached stream does not stall");
    t.deepEqual(log.recordTaken(2, 50_001).commands, [{ kind: "resume", attempt: 2, fromOffset: 2 }]);
});

test("a lost stream whose delivered text is unknown ends with an explicit fault", t => {
    const log = createLog({ fromOffset: 5, delivered: undefined });
    const [, end] = log.handleEvent(failed("notFound"), 1).commands;
    t.like(end, { kind: "fail", fault: { code: "streamLost", notRun: false } });
});

test("a passed deadline, a cancellation and a caller that does not return end the answer with a fault", t => {
    t.like(createLog().tick(60_000).commands[1], { fault: { code: "deadlinePassed", notRun: false } });
    t.like(createLog().cancel(1).commands[1], { fault: { code: "cancelled" } });
    const left = createLog({ resumeWindowMilliseconds: 100 });
    left.recordDisconnect(10);
    t.deepEqual(left.tick(109).commands, []);
    t.deepEqual(
        left.tick(110).commands.map(command => command.kind),
        ["cancel", "fail"],
    );
});
