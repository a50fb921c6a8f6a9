import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { createServer } from "node:net";
import test from "ava";
import { sendHttpRequest } from "../http-client.js";
import { systemClock } from "../system-clock.js";

/** Time for which the request may wait, in milliseconds. */
const timeoutMilliseconds = 3_000;

// A head that never got to a final status kept the process busy until the deadline of its request.
test("a server that sends interim responses without end is given up", async t => {
    const server = createServer(socket => {
        const send = (): void => {
            if (!socket.destroyed) {
                socket.write("HTTP/1.1 103 Early Hints\r\n\r\n");
                setTimeout(send, 5);
            }
        };
        socket.on("error", () => undefined);
        socket.once("data", send);
    });
    t.teardown(() => server.close());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const startedAt = systemClock.monotonicMilliseconds();
    const outcome = await sendHttpRequest(
        { clock: systemClock, maximumBodyLength: 1_000 },
        {
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            method: "GET",
            path: "/",
            deadline: startedAt + timeoutMilliseconds,
        },
    );
    t.is(outcome.kind, "lost");
    t.true(systemClock.monotonicMilliseconds() - startedAt < timeoutMilliseconds / 2);
});

test("some interim responses before the final one change nothing", async t => {
    const server = createServer(socket => {
        socket.once("data", () =>
            socket.end(`${"HTTP/1.1 102 Processing\r\n\r\n".repeat(20)}HTTP/1.1 200 OK\r\n\r\nx`),
        );
    });
    t.teardown(() => server.close());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const outcome = await sendHttpRequest(
        { clock: systemClock, maximumBodyLength: 1_000 },
        {
            address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
            method: "GET",
            path: "/",
            deadline: systemClock.monotonicMilliseconds() + timeoutMilliseconds,
        },
    );
    t.is(outcome.kind === "answered" && outcome.response.body, "x");
});
