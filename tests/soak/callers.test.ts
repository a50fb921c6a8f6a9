import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import type { ExecutionContext } from "ava";
import { findPorts } from "../../scripts/free-ports.js";
import { SoakCallers, request } from "./callers.js";
import { SoakEntry, portsPerEntry } from "./entries.js";
import type { CallerRecord } from "./histories.js";

/** A process that reads requests, and answers none of them but /alive. */
const silentProgram = (port: number): string => `
const server = require("node:http").createServer((request, response) => {
    if (request.url === "/alive") {
        response.end();
    } else {
        request.resume().on("end", () => process.stdout.write("read "));
    }
});
process.on("SIGTERM", () => undefined);
server.listen(${port}, "127.0.0.1");
`;

interface Played {
    readonly entry: SoakEntry;
    /** Sends a request, does something to the process once it has read the request, and returns the record. */
    readonly sendThen: (act: () => void) => Promise<CallerRecord>;
}

async function play(t: ExecutionContext): Promise<Played> {
    const directory = mkdtempSync(join(tmpdir(), "chervil-soak-callers-"));
    const port = await findPorts(portsPerEntry, undefined);
    const program = join(directory, "silent.cjs");
    writeFileSync(program, silentProgram(port));
    const entry = SoakEntry.create({
        name: "entry-0",
        firstPort: port,
        storeAddress: "127.0.0.1:1",
        heartbeatMilliseconds: 1_000,
        program,
        directory,
        onOwnEnd: () => undefined,
    });
    entry.start();
    t.teardown(() => entry.kill());
    const alive = { path: "/alive", method: "GET", headers: {}, body: undefined };
    while ((await request(port, undefined, alive)).status !== 200) {
        await new Promise(resolve => setTimeout(resolve, 20));
    }
    const sendThen = (act: () => void): Promise<CallerRecord> =>
        new Promise(resolve => {
            const callers = SoakCallers.create({
                entries: [entry],
                now: () => performance.now(),
                random: () => 0.1,
                credential: () => "key",
                onEnd: resolve,
            });
            entry.life!.child.stdout!.once("data", act);
            callers.send();
        });
    return { entry, sendThen };
}

test("a request that a killed process had read is excused, also once the process runs again", async t => {
    const { entry, sendThen } = await play(t);
    const record = await sendThen(() => {
        entry.kill();
        entry.start();
    });
    t.is(record.status, 0);
    t.true(record.isExcused);
});

test("a request that is cut off before the exit of its killed process is seen is excused", async t => {
    const { entry, sendThen } = await play(t);
    const record = await sendThen(() => entry.kill());
    t.true(record.isExcused);
});

test("a request that a sound process cuts off is not excused", async t => {
    const { entry, sendThen } = await play(t);
    const record = await sendThen(() => entry.life!.child.kill("SIGKILL"));
    t.is(record.status, 0);
    t.false(record.isExcused);
});
