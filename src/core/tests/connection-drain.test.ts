import test from "ava";
import type { ConnectionState, DrainStep } from "../connection-drain.js";
import { ConnectionDrain } from "../connection-drain.js";

function createDrain(): (
    now: number,
    acceptedConnections: number,
    connections: Readonly<Record<string, ConnectionState>>,
) => DrainStep<string> {
    const drain = ConnectionDrain.create<string>();
    return (now, acceptedConnections, connections) =>
        drain.observe({ now, acceptedConnections, connections: new Map(Object.entries(connections)) });
}

const idle: ConnectionState = { bytesRead: 0, hasOpenRequest: false };

test("connections are accepted until a poll found nothing to accept or read", t => {
    const observe = createDrain();
    t.false(observe(0, 4, {}).mayStopAccepting);
    t.false(observe(0, 5, {}).mayStopAccepting);
    t.false(observe(2_000, 6, {}).mayStopAccepting);
    t.true(observe(2_000, 6, {}).mayStopAccepting);
    t.false(observe(2_000, 7, { a: idle }).mayStopAccepting);
    t.false(observe(2_000, 7, { a: { ...idle, bytesRead: 40 } }).mayStopAccepting);
    t.true(observe(2_000, 7, { a: { ...idle, bytesRead: 40 } }).mayStopAccepting);
});

test("a connection is not closed before it was read again after a standstill of the event loop", t => {
    const observe = createDrain();
    observe(0, 1, { a: idle });
    t.deepEqual(observe(2_000, 1, { a: { ...idle, bytesRead: 40 } }).quietConnections, []);
    t.deepEqual(observe(2_010, 2, { b: idle }).quietConnections, []);
    t.deepEqual(observe(4_010, 2, { b: idle }).quietConnections, ["b"]);
});

test("a connection is closed after it was quiet for a while, counted from its last byte or response", t => {
    const observe = createDrain();
    const later = { bytesRead: 40, hasOpenRequest: false };
    observe(0, 2, { a: idle, b: { bytesRead: 40, hasOpenRequest: true } });
    t.deepEqual(
        observe(299, 2, { a: idle, b: { bytesRead: 40, hasOpenRequest: true } }).quietConnections,
        [],
    );
    t.deepEqual(observe(300, 2, { a: idle, b: later }).quietConnections, ["a"]);
    t.deepEqual(observe(598, 2, { b: later }).quietConnections, []);
    t.deepEqual(observe(600, 2, { b: later }).quietConnections, ["b"]);
});
