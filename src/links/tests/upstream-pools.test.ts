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
        usedConnections: new WeakSet(),
        namesRequest: () => true,
        mayStart: () => true,
    };
}

/** Sends a request; resolves with how far it got, or undefined if its response is complete. */
function sendWith(pools: UpstreamPools, outgoing: UpstreamRequest): Promise<Delivery | undefined> {
    return new Promise(resolve => {
        pools.send(replica, outgoing, {
            onWritten: ignore,
            onHead: ignore,
            onData: ignore,
            onEnd: () => resolve(undefined),
            onFailure: (_, delivery) => resolve(delivery),
            onWithheld: ignore,
        });
    });
}

function send(pools: UpstreamPools, port: number): Promise<Delivery | undefined> {
    return sendWith(pools, requestTo(port));
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

/** A replica that refuses every request, and tells on which connection it arrived. */
async function startRefusingReplica(
    refusal: string,
    onRequest: (connection: number, socket: Socket) => void,
): Promise<{ readonly port: number; readonly close: () => void }> {
    const sockets = new Set<Socket>();
    let connections = 0;
    const server = createSocketServer(socket => {
        connections += 1;
        const connection = connections;
        sockets.add(socket);
        socket.on("error", ignore);
        socket.on("data", () => {
            onRequest(connection, socket);
            socket.write(refusal);
        });
    });
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const close = (): void => {
        server.close();
        sockets.forEach(socket => socket.destroy());
    };
    return { port: (server.address() as AddressInfo).port, close };
}

// The exception left the caller waiting until its deadline.
test("a request that cannot be sent fails at once", async t => {
    const pools = UpstreamPools.create(systemClock, () => 4);
    t.is(await sendWith(pools, { ...requestTo(80), address: "127.0.0.1:99999" }), "notSent");
    t.is(await sendWith(pools, { ...requestTo(80), headers: ["Name", "a\nb"] }), "notSent");
});

const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";

// A repeated refusal was taken for the response to a later send of the same request over the same connection.
for (const maximumConnections of [1, 4]) {
    test(`a request is sent over each connection at most once (limit ${maximumConnections})`, async t => {
        const arrivals: number[] = [];
        const server = await startRefusingReplica(refusal, connection => arrivals.push(connection));
        t.teardown(server.close);
        const pools = UpstreamPools.create(systemClock, () => maximumConnections);
        const outgoing = requestTo(server.port);
        for (let count = 0; count < 3; count += 1) {
            // The next send starts before the connection of the last one has returned to the pool.
            t.is(await sendWith(pools, outgoing), undefined);
        }
        t.deepEqual(arrivals, [1, 2, 3]);
        await new Promise(resolve => setImmediate(resolve));
        t.is(await sendWith(pools, outgoing), undefined);
        t.is(await sendWith(pools, requestTo(server.port)), undefined);
        t.is(arrivals[3], 4);
        t.true(arrivals[4]! <= 4, "another request reuses a connection");
    });
}

test("a send that waits for a connection is not given the one that has carried its request", async t => {
    const arrivals: number[] = [];
    const server = await startRefusingReplica(refusal, connection => arrivals.push(connection));
    t.teardown(server.close);
    const pools = UpstreamPools.create(systemClock, () => 1);
    const outgoing = requestTo(server.port);
    const ends = [sendWith(pools, outgoing), sendWith(pools, outgoing), sendWith(pools, outgoing)];
    t.deepEqual(await Promise.all(ends), [undefined, undefined, undefined]);
    t.deepEqual(arrivals, [1, 2, 3]);
});

// A copy of such a response could not be told from the response to another request.
test("a connection is not reused after a response that names no request", async t => {
    const arrivals: number[] = [];
    const server = await startRefusingReplica(refusal, connection => arrivals.push(connection));
    t.teardown(server.close);
    const pools = UpstreamPools.create(systemClock, () => 4);
    const unnamed = { ...requestTo(server.port), namesRequest: () => false };
    const waiting = { ...requestTo(server.port), namesRequest: () => true };
    t.is(await sendWith(pools, unnamed), undefined);
    await new Promise(resolve => setImmediate(resolve));
    t.is(await sendWith(pools, waiting), undefined);
    t.deepEqual(arrivals, [1, 2]);
});

/** Bytes of each half of a response, and the time for which its reader pauses between the halves, in milliseconds. */
const halfBytes = 200_000;
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
