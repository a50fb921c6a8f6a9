import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createServer as createSocketServer } from "node:net";
import test from "ava";
import { systemClock } from "../system-clock.js";
import type { Delivery, UpstreamRequest } from "../upstream-pools.js";
import { UpstreamPools } from "../upstream-pools.js";

const replica = "replica-1";
const ignore = (): void => undefined;

function requestTo(port: number): UpstreamRequest {
    return {
        address: `127.0.0.1:${port}`,
        method: "POST",
        target: "/",
        headers: ["Host", "replica"],
        body: undefined,
        isRetryable: true,
        needsNewConnection: false,
        mayStart: () => true,
    };
}

/** Sends one request; resolves with how far it got, or undefined if its response is complete. */
function send(pools: UpstreamPools, port: number): Promise<Delivery | undefined> {
    return new Promise(resolve => {
        pools.send(replica, requestTo(port), {
            onWritten: ignore,
            onHead: ignore,
            onData: ignore,
            onEnd: () => resolve(undefined),
            onFailure: (_, delivery) => resolve(delivery),
            onWithheld: ignore,
        });
    });
}

test("a request that gets a pooled connection which is closed already does not count as sent", async t => {
    let received = 0;
    const server = createServer((_, response) => {
        received += 1;
        setTimeout(() => response.end("x"), 10);
    });
    t.teardown(() => server.close());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    const pools = UpstreamPools.create(systemClock, () => 4);
    await Promise.all([send(pools, port), send(pools, port)]);
    t.is(received, 2);
    const [idle] = Object.values(pools.getAgent(replica).freeSockets);
    t.is(idle!.length, 2);
    idle!.at(-1)!.destroy();
    t.is(await send(pools, port), "notSent");
    t.is(received, 2);
    t.is(await send(pools, port), undefined);
    idle!.forEach(socket => socket.destroy());
});

/** Bytes of each half of a response, and the time for which its reader pauses between the halves, in milliseconds. */
const halfBytes = 8_000;
const pauseMilliseconds = 200;
const halves = ["a", "b"].map(each => each.repeat(halfBytes));
const chunks = halves.map(half => `${halfBytes.toString(16)}\r\n${half}\r\n`).join("");

const closingReplicas: Readonly<Record<string, (socket: Socket) => void>> = {
    "in chunks, with Connection: close": socket =>
        socket.end(
            `HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n${chunks}0\r\n\r\n`,
        ),
    "without a length": socket =>
        socket.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${halves.join("")}`),
    "in chunks, on a connection that is idle for too long": socket => {
        socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`);
        setTimeout(() => socket.end(), pauseMilliseconds / 4);
    },
};

for (const [title, respond] of Object.entries(closingReplicas)) {
    test(`a response that is paused when its replica closes the connection is complete: ${title}`, async t => {
        const server = createSocketServer(socket => {
            socket.on("error", ignore);
            socket.once("data", () => respond(socket));
        });
        t.teardown(() => server.close());
        server.listen(0, "127.0.0.1");
        await once(server, "listening");
        const { port } = server.address() as AddressInfo;
        const pools = UpstreamPools.create(systemClock, () => 4);
        let bytes = 0;
        const failure = await new Promise<string | undefined>(resolve => {
            const call = pools.send(replica, requestTo(port), {
                onWritten: ignore,
                onHead: ignore,
                onData: chunk => {
                    if (bytes === 0) {
                        call.pause();
                        setTimeout(() => call.resume(), pauseMilliseconds);
                    }
                    bytes += chunk.length;
                },
                onEnd: () => resolve(undefined),
                onFailure: message => resolve(message),
                onWithheld: ignore,
            });
        });
        t.is(failure, undefined);
        t.is(bytes, 2 * halfBytes);
    });
}
