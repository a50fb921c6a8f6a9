import { connect, createServer } from "node:net";
import type { AddressInfo, Socket } from "node:net";
import test from "ava";
import { resetSocket } from "./proxies.js";

test("a socket that is reset while its end is still being sent is closed", async t => {
    const server = createServer();
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const accepted = new Promise<Socket>(resolve => server.once("connection", resolve));
    const caller = connect((server.address() as AddressInfo).port, "127.0.0.1");
    caller.on("error", () => undefined);
    const socket = await accepted;
    const outcome = new Promise<string>(resolve => {
        socket.once("close", () => resolve("closed"));
        socket.once("error", error => resolve(error.message));
    });
    socket.end("last words");
    resetSocket(socket);
    t.is(await outcome, "closed");
    caller.destroy();
    server.close();
});
