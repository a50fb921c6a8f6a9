import * as http from "node:http";
import * as net from "node:net";
import test from "ava";
import { startCallerServer } from "../caller-server.js";
import { BlockedCallers } from "./blocked-callers.js";

const bodyLength = 20_000_000;
const limits = { connections: 16, headerMilliseconds: 1_000, requestMilliseconds: 1_000 };
const sleep = (milliseconds: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, milliseconds));

function start(handle: (request: http.IncomingMessage, response: http.ServerResponse) => void) {
    return startCallerServer({ listen: "127.0.0.1:0", limits, handle });
}

test("a response that is being sent when the port closes reaches its caller whole", async t => {
    const server = await start((_, response) => response.end(Buffer.alloc(bodyLength)));
    const response = await new Promise<http.IncomingMessage>((resolve, reject) => {
        http.get(`http://${server.address}`, { agent: new http.Agent({ keepAlive: true }) }, resolve).on(
            "error",
            reject,
        );
    });
    const closed = server.close();
    await sleep(100);
    let received = 0;
    response.on("data", (chunk: Buffer) => (received += chunk.length));
    await new Promise<void>(resolve => response.once("close", () => resolve()));
    t.is(received, bodyLength);
    await closed;
});

test("callers that wait to be accepted or to be read when the port closes get responses", async t => {
    const server = await start((_, response) => response.end("x"));
    const callers = await BlockedCallers.create(Number(server.address.split(":")[1]));
    t.teardown(() => callers.close());
    await callers.run(["open", 3], ["send"], ["receive"]);
    callers.runBlocked(["open", 9], ["send"]);
    const closed = server.close();
    t.deepEqual(
        await callers.run(["receive"]),
        Array.from({ length: 12 }, () => 200),
    );
    await closed;
});

test("a caller that goes on sending requests on its connection does not keep a closing port open", async t => {
    const server = await start((_, response) => void setTimeout(() => response.end("x"), 100));
    const socket = net.connect(Number(server.address.split(":")[1]), "127.0.0.1");
    t.teardown(() => socket.destroy());
    const isClosed = new Promise<void>(resolve => socket.once("close", () => resolve()));
    const send = (): boolean => socket.write("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    let received = "";
    socket.on("error", () => undefined);
    socket.on("data", chunk => {
        received += chunk.toString();
        setTimeout(send, 50);
    });
    send();
    await sleep(50);
    const closed = server.close();
    const outcome = await Promise.race([closed.then(() => "closed"), sleep(3_000).then(() => "open")]);
    t.is(outcome, "closed");
    await isClosed;
    t.regex(received, /^HTTP\/1\.1 200 OK/);
});

test("a request on a connection above a lowered limit gets a response", async t => {
    const server = await startCallerServer({
        listen: "127.0.0.1:0",
        limits,
        handle: (_, response, isAboveLimit) => response.writeHead(isAboveLimit ? 503 : 200).end(),
    });
    const agent = new http.Agent({ keepAlive: true });
    const ask = (): Promise<number | undefined> =>
        new Promise((resolve, reject) => {
            const request = http.get(`http://${server.address}`, { agent }, response => {
                response.resume();
                response.once("close", () => resolve(response.statusCode));
            });
            request.on("error", reject);
        });
    t.deepEqual(await Promise.all([ask(), ask()]), [200, 200]);
    server.applyLimits({ ...limits, connections: 2 });
    t.deepEqual((await Promise.all([ask(), ask(), ask(), ask()])).sort(), [200, 200, 503, 503]);
    t.deepEqual(await Promise.all([ask(), ask()]), [200, 200]);
    agent.destroy();
    await server.close();
});
