/**
 * A replica turns requests away while it is full, and sends a second copy of some of its answers where the next response on
 * the connection is expected. Counts the assignments that were answered as not run and that the replica ran.
 */
import type { Socket } from "node:net";
import { isTroubled, ruleBroken, ruleHeld, runCase } from "../lib/case.js";
import type { CaseContext } from "../lib/case.js";
import { configuration, trackerService } from "../lib/configuration.js";
import { pause } from "../lib/deployment.js";
import { hostReplicas, recordFromHost } from "../lib/host.js";
import type { Arrival } from "../lib/replica.js";

const zone = "izm-a";
/** Connections that the replica accepts, of which an entry instance uses nine tenths. */
const maximumConnections = 10;
const slots = 6;
/** Requests that wait while all slots are taken. */
const queued = 2;
const workMilliseconds = 43;
/** Assignments a second: a little more than the replica can run. */
const requestsPerSecond = 150;
/** Share of the answers that are sent twice: the largest of the site file. */
const copiedShare = 0.03;
const seconds = 45;
const deadlineMilliseconds = 1_500;

async function host(): Promise<void> {
    let isArmed = false;
    /** Copy of the last answer on a connection. */
    const copies = new WeakMap<Socket, string>();
    let inside = 0;
    const noteCopy = (arrival: Arrival, socket: Socket, head: readonly string[], body: string): void => {
        if (isArmed && Math.random() < copiedShare) {
            copies.set(socket, [...head, `Content-Length: ${body.length}`, "", body].join("\r\n"));
            recordFromHost(`replica ${arrival.replica} will send its answer to ${arrival.id} twice`);
        }
    };
    await hostReplicas(
        [
            {
                id: "i-tracker",
                service: trackerService,
                zone,
                slots,
                workMilliseconds,
                spoil: (arrival, response) => {
                    const { socket } = response;
                    if (socket === null || response.destroyed) {
                        // The caller has closed the connection.
                        return true;
                    }
                    const copy = copies.get(socket);
                    if (copy !== undefined) {
                        copies.delete(socket);
                        socket.write(copy);
                    }
                    const identity = `Chervilrouter-Request-Id: ${arrival.id}`;
                    if (inside >= slots + queued) {
                        recordFromHost(`replica ${arrival.replica} is full and turns ${arrival.id} away`);
                        noteCopy(
                            arrival,
                            socket,
                            ["HTTP/1.1 503 Service Unavailable", identity, "Chervilrouter-Not-Executed: 1"],
                            "",
                        );
                        response
                            .writeHead(503, {
                                "Chervilrouter-Request-Id": arrival.id,
                                "Chervilrouter-Not-Executed": "1",
                                "Content-Length": "0",
                            })
                            .end();
                        return true;
                    }
                    inside += 1;
                    response.once("close", () => (inside -= 1));
                    return false;
                },
            },
        ],
        word => (isArmed = word === "fault"),
    );
}

async function play({ record, deployment, hosts, callers }: CaseContext): Promise<number> {
    const entry = deployment.entries[0]!;
    const replicas = hosts.get("replicas")!;
    if (isTroubled) {
        replicas.send("fault");
    }
    const until = Date.now() + seconds * 1_000;
    let next = Date.now();
    while (Date.now() < until) {
        while (next <= Date.now()) {
            void callers.assign(entry, deadlineMilliseconds);
            next += (-Math.log(1 - Math.random()) * 1_000) / requestsPerSecond;
        }
        await pause(1);
    }
    await pause(deadlineMilliseconds + 500);
    const ran = new Set(replicas.runs.map(({ request }) => request));
    const promises = callers.sent.filter(
        ({ status, answeredAt }) => answeredAt !== undefined && [408, 421, 429, 503].includes(status ?? 0),
    );
    const broken = promises.filter(({ id }) => ran.has(id));
    broken.forEach(({ id, status }) => record.say(`${id} was answered ${status} and has run`));
    const served = callers.sent.filter(({ status }) => status === 200).length;
    record.say(
        `assignments: ${callers.sent.length}; served: ${served}; answered as not run: ${promises.length}; of these run: ${broken.length}`,
    );
    record.say(broken.length > 0 ? "REFUSED is broken" : "REFUSED is kept");
    return broken.length > 0 ? ruleBroken : ruleHeld;
}

await runCase({
    zones: [zone],
    configuration: configuration({ assignAttempts: 2, trackerConnections: maximumConnections }),
    hosts: ["replicas"],
    openGroups: 0,
    host,
    play,
});
