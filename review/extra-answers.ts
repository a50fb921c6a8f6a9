/**
 * Load of the cases with extra answers: a replica turns requests away while it is full, and sends a second copy of some of these
 * answers where the next response on the connection is expected.
 */
import type { Socket } from "node:net";
import type { Sent } from "./caller.js";
import { isTroubled, ruleBroken, ruleHeld, runCase } from "./run-case.js";
import type { CaseContext } from "./run-case.js";
import { configuration, trackerService } from "./configuration.js";
import { pause } from "./deployment.js";
import { hostReplicas, recordFromHost } from "./host.js";
import type { Arrival } from "./replica.js";

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

/** What became of one assignment. */
export interface Outcome {
    readonly sent: Sent;
    /** Number of times that the replica began to run it. */
    readonly runs: number;
}

export interface ExtraAnswersOptions {
    /** MaxAttempts of the route for assignments. */
    readonly maximumAttempts: number;
    readonly rule: string;
    /** Time for which assignments are sent. */
    readonly seconds: number;
    /** Says how an assignment broke the rule; undefined if it did not. */
    readonly describeBreach: (outcome: Outcome) => string | undefined;
}

async function play(
    { record, deployment, hosts, callers }: CaseContext,
    { rule, seconds, describeBreach }: ExtraAnswersOptions,
): Promise<number> {
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
    const runs = new Map<string, number>();
    replicas.runs.forEach(({ request }) => runs.set(request, (runs.get(request) ?? 0) + 1));
    const outcomes = callers.sent.map(sent => ({ sent, runs: runs.get(sent.id) ?? 0 }));
    const breaches = outcomes.flatMap(outcome => describeBreach(outcome) ?? []);
    breaches.forEach(text => record.say(text));
    const withStatus = (...statuses: readonly number[]): number =>
        callers.sent.filter(({ status }) => statuses.includes(status ?? 0)).length;
    record.say(
        `assignments: ${callers.sent.length}; served: ${withStatus(200)}; answered as not run: ${withStatus(...notRunStatuses)}; breaches: ${breaches.length}`,
    );
    record.say(breaches.length > 0 ? `${rule} is broken` : `${rule} is kept`);
    return breaches.length > 0 ? ruleBroken : ruleHeld;
}

/** Statuses that promise that the request has not run and never will. */
export const notRunStatuses: readonly number[] = [408, 421, 429, 503];

export async function runExtraAnswers(options: ExtraAnswersOptions): Promise<void> {
    await runCase({
        zones: [zone],
        configuration: configuration({
            assignAttempts: options.maximumAttempts,
            trackerConnections: maximumConnections,
        }),
        hosts: ["replicas"],
        openGroups: 0,
        host,
        play: context => play(context, options),
    });
}
