import { mkdtempSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import test from "ava";
import type { ExecutionContext } from "ava";
import { findPorts } from "../../scripts/free-ports.js";
import { SoakCallers, sendRequest } from "./callers.js";
import { SoakEntry, portsPerEntry } from "./soak-entry.js";
import type { CallerRecord } from "./history.js";

/** Program of a server that reads every request and responds only to /alive. */
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

interface StartedEntry {
    readonly entry: SoakEntry;
    /** Sends a request, runs `act` once the process has read it, and returns the caller's record. */
    readonly sendThen: (act: () => void) => Promise<CallerRecord>;
}

async function startSilentEntry(t: ExecutionContext): Promise<StartedEntry> {
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
        onExit: () => undefined,
    });
    entry.start();
    t.teardown(() => entry.kill());
    const alive = { path: "/alive", method: "GET", headers: {}, body: undefined };
    while ((await sendRequest(port, undefined, alive)).status !== 200) {
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
            entry.currentProcess!.child.stdout!.once("data", act);
            callers.send();
        });
    return { entry, sendThen };
}

test("a request that a killed process had read is excused, also after the process was started again", async t => {
    const { entry, sendThen } = await startSilentEntry(t);
    const record = await sendThen(() => {
        entry.kill();
        entry.start();
    });
    t.is(record.status, 0);
    t.true(record.isExcused);
});

test("a request that is cut off before the exit event of its killed process is excused", async t => {
    const { entry, sendThen } = await startSilentEntry(t);
    const record = await sendThen(() => entry.kill());
    t.true(record.isExcused);
});

test("a request that an undisturbed process cuts off is not excused", async t => {
    const { entry, sendThen } = await startSilentEntry(t);
    const record = await sendThen(() => entry.currentProcess!.child.kill("SIGKILL"));
    t.is(record.status, 0);
    t.false(record.isExcused);
});
