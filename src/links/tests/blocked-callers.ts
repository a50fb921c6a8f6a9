/** Callers in a thread of their own, which connect and send requests while the event loop of the test stands still. */
import { once } from "node:events";
import { Worker } from "node:worker_threads";

/** Time that the event loop stands still after the last request was written, in milliseconds. */
const arrivalMilliseconds = 20;

const program = `
const { parentPort, workerData } = require("node:worker_threads");
const { connect } = require("node:net");
const signal = new Int32Array(workerData.signal);
const request = "GET /a HTTP/1.1\\r\\nHost: api.example\\r\\n\\r\\n";
const callers = [];
const settle = caller => {
    caller.resolve?.(caller.statuses.shift() ?? 0);
    caller.resolve = undefined;
};
const open = () => new Promise((resolve, reject) => {
    const socket = connect(workerData.port, "127.0.0.1", () => resolve());
    const caller = { socket, statuses: [], isClosed: false, resolve: undefined };
    socket.on("error", reject);
    socket.on("data", data => {
        caller.statuses.push(...Array.from(String(data).matchAll(/HTTP.1.1 ([0-9]+)/g), ([, status]) => Number(status)));
        settle(caller);
    });
    socket.once("close", () => {
        caller.isClosed = true;
        settle(caller);
    });
    callers.push(caller);
});
const send = ({ socket }) => new Promise(resolve => socket.write(request, resolve));
const receive = caller => new Promise(resolve => {
    caller.resolve = resolve;
    if (caller.isClosed || caller.statuses.length > 0) {
        settle(caller);
    }
});
const commands = {
    open: count => Promise.all(Array.from({ length: count }, open)),
    send: () => Promise.all(callers.map(send)),
    receive: () => Promise.all(callers.map(receive)),
    wait: milliseconds => new Promise(resolve => setTimeout(resolve, milliseconds)),
    close: () => callers.forEach(({ socket }) => socket.destroy()),
};
parentPort.on("message", async ({ steps, isBlocked }) => {
    let result;
    for (const [name, argument] of steps) {
        result = await commands[name](argument);
    }
    if (!isBlocked) {
        parentPort.postMessage(result);
        return;
    }
    setTimeout(() => {
        Atomics.store(signal, 0, 1);
        Atomics.notify(signal, 0);
    }, ${arrivalMilliseconds});
});
`;

/** "receive" resolves with the status of each caller's next response; 0 if the connection closes without one. */
type Command =
    readonly ["open" | "wait", number] | readonly ["send"] | readonly ["receive"] | readonly ["close"];

export class BlockedCallers {
    private constructor(
        private readonly worker: Worker,
        private readonly signal: Int32Array,
    ) {}

    public static async create(port: number): Promise<BlockedCallers> {
        const signal = new SharedArrayBuffer(Int32Array.BYTES_PER_ELEMENT);
        const worker = new Worker(program, { eval: true, workerData: { port, signal } });
        await once(worker, "online");
        return new BlockedCallers(worker, new Int32Array(signal));
    }

    /** Runs commands while the event loop of the test continues; returns the result of the last one. */
    public async run(...steps: readonly Command[]): Promise<unknown> {
        const replied = once(this.worker, "message");
        this.worker.postMessage({ steps, isBlocked: false });
        const [result] = (await replied) as [unknown];
        return result;
    }

    /** Runs commands and returns once they are done; the event loop of the test stands still meanwhile. */
    public runBlocked(...steps: readonly Command[]): void {
        Atomics.store(this.signal, 0, 0);
        this.worker.postMessage({ steps, isBlocked: true });
        Atomics.wait(this.signal, 0, 0);
    }

    public async close(): Promise<void> {
        await this.run(["close"]);
        await this.worker.terminate();
    }
}
