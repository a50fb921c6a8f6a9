import { once } from "node:events";
import * as http from "node:http";
import type { AddressInfo, Socket } from "node:net";
import { createServer } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import test from "ava";
import { ReadHold } from "../read-hold.js";

const pieceCount = 300_000;
const body = "1\r\nx\r\n".repeat(pieceCount);

/** Opens a response in pieces of one byte; `onPiece` is called with its connection. */
async function openResponse(
    t: { teardown: (end: () => unknown) => void },
    onPiece: (socket: Socket) => void,
): Promise<http.IncomingMessage> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () =>
            socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${body}0\r\n\r\n`),
        );
    });
    t.teardown(() => server.close());
    server.listen(0, "127.0.0.1");
    await once(server, "listening");
    const request = http.get({
        host: "127.0.0.1",
        port: (server.address() as AddressInfo).port,
        agent: false,
    });
    t.teardown(() => request.destroy());
    const [response] = (await once(request, "response")) as [http.IncomingMessage];
    response.on("data", () => onPiece(response.socket));
    return response;
}

// A paused message let its pieces pile up: its buffer limits their bytes, and each takes hundreds of them.
test("a connection that is held is read no further, and its message is complete after the hold", async t => {
    let pieces = 0;
    const response = await openResponse(t, socket => {
        pieces += 1;
        if (pieces === 1) {
            ReadHold.of(socket).pause();
        }
    });
    await pause(200);
    const heldAt = pieces;
    t.true(heldAt > 0 && heldAt < pieceCount / 10, `${heldAt} pieces`);
    await pause(100);
    t.is(pieces, heldAt);
    ReadHold.of(response.socket).resume();
    await once(response, "end");
    t.is(pieces, pieceCount);
});

test("reading is deferred as long as it is asked for", async t => {
    let pieces = 0;
    let remaining = 50;
    const response = await openResponse(t, socket => {
        pieces += 1;
        ReadHold.of(socket).deferWhile(() => remaining);
    });
    await pause(300);
    const heldAt = pieces;
    t.true(heldAt > 0 && heldAt < pieceCount / 10, `${heldAt} pieces`);
    remaining = 0;
    await once(response, "end");
    t.is(pieces, pieceCount);
});

test("a hold that is cleared ends its deferral and its pause", async t => {
    let pieces = 0;
    const response = await openResponse(t, socket => {
        pieces += 1;
        if (pieces === 1) {
            ReadHold.of(socket).pause();
            ReadHold.of(socket).deferWhile(() => 10_000);
        }
    });
    await pause(50);
    ReadHold.of(response.socket).clear();
    await once(response, "end");
    t.is(pieces, pieceCount);
});
