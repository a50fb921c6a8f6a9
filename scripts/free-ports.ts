/** Finds a block of consecutive free loopback ports, outside the range of outgoing connections. */
import { createServer } from "node:net";

const firstPort = 12_000;
const lastPort = 30_000;
const maximumAttempts = 50;

function isFree(port: number): Promise<boolean> {
    return new Promise(resolve => {
        const server = createServer();
        server.once("error", () => resolve(false));
        server.listen(port, "127.0.0.1", () => server.close(() => resolve(true)));
    });
}

async function areFree(first: number, count: number): Promise<boolean> {
    for (let port = first; port < first + count; port += 1) {
        if (!(await isFree(port))) {
            return false;
        }
    }
    return true;
}

/** Returns the first of `count` free ports: `portsFrom` if it is given, otherwise a block found at random. */
export async function findPorts(count: number, portsFrom: number | undefined): Promise<number> {
    if (portsFrom !== undefined) {
        if (!(await areFree(portsFrom, count))) {
            throw new Error(`ports ${portsFrom} to ${portsFrom + count - 1} are not all free`);
        }
        return portsFrom;
    }
    for (let attempt = 0; attempt < maximumAttempts; attempt += 1) {
        const first = firstPort + Math.floor(Math.random() * (lastPort - firstPort - count));
        if (await areFree(first, count)) {
            return first;
        }
    }
    throw new Error(`no block of ${count} consecutive free ports was found`);
}
