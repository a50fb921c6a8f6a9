/** Clients that send requests to one entry instance over kept connections and note what they get. */
import * as http from "node:http";
import type { Entry } from "./deployment.js";
import type { Record } from "./record.js";

export const host = "studio.example";
export const key = "n2ctnfzs989anu6wsjnb";

export interface Call {
    readonly path: string;
    readonly method: string;
    readonly deadlineMilliseconds: number;
    readonly body?: string;
    readonly headers?: Readonly<{ [name: string]: string }>;
    /** Time without a further piece of the answer after which the client leaves. */
    readonly patienceMilliseconds?: number;
}

/** One request of a client, with what has become of it. */
export interface Sent {
    readonly id: string;
    readonly entry: string;
    readonly path: string;
    /** Unix milliseconds. */
    readonly sentAt: number;
    status: number | undefined;
    headers: http.IncomingHttpHeaders;
    body: string;
    /** Unix milliseconds of the end of a complete answer, undefined without one. */
    answeredAt: number | undefined;
    /** Unix milliseconds at which the connection ended without a complete answer. */
    brokenAt: number | undefined;
    /** True if the client gave up at its time limit. */
    hasGivenUp: boolean;
    /** True if the connection had carried requests before. */
    isKept: boolean;
}

/**
 * Clients abandon a stream after a gap of two seconds, four times the objective (500 ms) or eight times the longest pause
 * (300 ms), whichever is longest.
 */
const streamPatienceMilliseconds = 2_400;

const streamHeaders = {
    "Chervilrouter-Model": "daka510000",
    "Chervilrouter-Token-Counts": "100,30",
};

let lastId = 0;

export class Callers {
    public readonly sent: Sent[] = [];
    private readonly agents = new Map<string, http.Agent>();

    public constructor(private readonly record: Record) {}

    /** Sends one request; resolves when it is answered, broken off or given up. */
    public send(entry: Entry, call: Call): Promise<Sent> {
        lastId += 1;
        const id = `r${String(lastId).padStart(6, "0")}`;
        const sent: Sent = {
            id,
            entry: entry.name,
            path: call.path,
            sentAt: Date.now(),
            status: undefined,
            headers: {},
            body: "",
            answeredAt: undefined,
            brokenAt: undefined,
            hasGivenUp: false,
            isKept: false,
        };
        this.sent.push(sent);
        this.record.line(`client sends ${id} (${call.method} ${call.path}) to ${entry.name}`);
        return new Promise(resolve => {
            let timer: NodeJS.Timeout | undefined = undefined;
            let gapTimer: NodeJS.Timeout | undefined = undefined;
            const end = (what: string): void => {
                clearTimeout(gapTimer);
                if (timer !== undefined) {
                    clearTimeout(timer);
                    timer = undefined;
                    this.record.line(`client of ${id}: ${what}`);
                    resolve(sent);
                }
            };
            const length = Buffer.byteLength(call.body ?? "");
            const request = http.request(
                {
                    host: "127.0.0.1",
                    port: entry.port,
                    method: call.method,
                    path: call.path,
                    agent: this.agentOf(entry),
                    headers: {
                        Host: host,
                        "Chervilrouter-Request-Id": id,
                        "Chervilrouter-Deadline-Ms": String(call.deadlineMilliseconds),
                        Authorization: `Bearer ${key}`,
                        ...(call.method === "GET" ? {} : { "Content-Length": length }),
                        ...call.headers,
                    },
                },
                response => {
                    sent.status = response.statusCode;
                    sent.headers = response.headers;
                    response.setEncoding("latin1");
                    response.on("data", (text: string) => {
                        awaitPiece();
                        sent.body = sent.body.length < 200_000 ? sent.body + text : sent.body;
                    });
                    response.on("error", () => undefined);
                    response.on("close", () => {
                        if (response.complete) {
                            sent.answeredAt = Date.now();
                            end(
                                `answer ${sent.status}, complete: ${JSON.stringify(sent.body.slice(0, 120))}`,
                            );
                        } else {
                            sent.brokenAt = Date.now();
                            end(`answer ${sent.status}, broken off`);
                        }
                    });
                },
            );
            const giveUp = (reason: string): void => {
                sent.hasGivenUp = true;
                end(`given up ${reason}`);
                request.destroy();
            };
            const awaitPiece = (): void => {
                clearTimeout(gapTimer);
                if (call.patienceMilliseconds !== undefined && timer !== undefined) {
                    gapTimer = setTimeout(() => giveUp("after a gap"), call.patienceMilliseconds);
                }
            };
            timer = setTimeout(() => giveUp("at its time limit"), call.deadlineMilliseconds);
            awaitPiece();
            request.once("socket", () => (sent.isKept = request.reusedSocket));
            request.on("error", error => {
                sent.brokenAt = Date.now();
                end(`no answer: ${error.message}`);
            });
            request.end(call.body);
        });
    }

    /** An idempotent read. */
    public read(entry: Entry, deadlineMilliseconds = 1_500): Promise<Sent> {
        return this.send(entry, { path: "/board/7?view=all", method: "GET", deadlineMilliseconds });
    }

    /** An assignment, which may run once. */
    public assign(entry: Entry, deadlineMilliseconds = 1_500): Promise<Sent> {
        return this.send(entry, {
            path: "/assign/17",
            method: "POST",
            body: '{"bug":17,"to":"aylin"}',
            deadlineMilliseconds,
        });
    }

    /** A stream that may be resumed. */
    public stream(entry: Entry, deadlineMilliseconds = 6_000): Promise<Sent> {
        lastPrompt += 1;
        return this.send(entry, {
            path: "/triage/1",
            method: "POST",
            body: `crash report ${lastPrompt}`,
            headers: {
                ...streamHeaders,
                "Chervilrouter-Prompt-Prefix": `5c1e07a2:40,${lastPrompt.toString(16)}:60`,
            },
            deadlineMilliseconds,
            patienceMilliseconds: streamPatienceMilliseconds,
        });
    }

    public close(): void {
        this.agents.forEach(agent => agent.destroy());
    }

    private agentOf({ name }: Entry): http.Agent {
        let agent = this.agents.get(name);
        if (agent === undefined) {
            agent = new http.Agent({ keepAlive: true, maxSockets: 256, scheduling: "lifo" });
            this.agents.set(name, agent);
        }
        return agent;
    }
}

let lastPrompt = 4_096;
