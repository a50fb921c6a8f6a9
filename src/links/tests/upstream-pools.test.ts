import { once } from "node:events";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import test from "ava";
import { systemClock } from "../system-clock.js";
import type { Delivery } from "../upstream-pools.js";
import { UpstreamPools } from "../upstream-pools.js";

const replica = "replica-1";
const ignore = (): void => undefined;

/** Sends one request; resolves with how far it got, or undefined if its response is complete. */
function send(pools: UpstreamPools, port: number): Promise<Delivery | undefined> {
    return new Promise(resolve => {
        pools.send(
            replica,
            {
                address: `127.0.0.1:${port}`,
                method: "POST",
                target: "/",
                headers: ["Host", "replica"],
                body: undefined,
                isRetryable: true,
                needsNewConnection: false,
                mayStart: () => true,
            },
            {
                onHead: ignore,
                onData: ignore,
                onEnd: () => resolve(undefined),
                onFailure: (_, delivery) => resolve(delivery),
                onWithheld: ignore,
            },
        );
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
