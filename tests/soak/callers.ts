/** Callers of the soak. They keep connections alive until the process ends, and send some requests over new ones. */
import * as http from "node:http";
import { randomInteger } from "../../src/core/random-numbers.js";
import type { EntryLife, SoakEntry } from "./entries.js";
import type { CallerRecord, RequestKind } from "./histories.js";
import { host, modelName } from "./workloads.js";

const deadlineMilliseconds = 3_500;
/** Fraction of the requests that are sent over a new connection instead of a kept one. */
const newConnectionPart = 0.3;

export interface SoakCallersOptions {
    readonly entries: readonly SoakEntry[];
    readonly now: () => number;
    readonly random: () => number;
    /** A credential that is valid now, also at processes whose configuration is one version behind. */
    readonly credential: () => string;
    readonly onEnd: (record: CallerRecord) => void;
}

interface Answer {
    readonly status: number;
    readonly answeredId: string | undefined;
    readonly body: string;
    readonly isWhole: boolean;
    /** True if no connection was established, or a kept one broke, which the process may have closed before the request. */
    readonly wasNotRead: boolean;
}

export class SoakCallers {
    private readonly agents = new Map<string, http.Agent>();
    private readonly open = new Set<Promise<void>>();
    private lastRequest = 0;

    private constructor(private readonly options: SoakCallersOptions) {}

    public static create(options: SoakCallersOptions): SoakCallers {
        return new SoakCallers(options);
    }

    /** Sends one request of a random kind to a random running entry instance. */
    public send(): void {
        const { entries, random } = this.options;
        const running = entries.filter(entry => entry.isRunning);
        const entry = running[randomInteger(0, running.length - 1, random)];
        if (entry === undefined) {
            return;
        }
        const draw = random();
        const kind: RequestKind = draw < 0.4 ? "once" : draw < 0.6 ? "read" : "stream";
        const call = this.sendTo(entry, kind).then(() => void this.open.delete(call));
        this.open.add(call);
    }

    /** Waits until all requests have ended. */
    public async settle(): Promise<void> {
        await Promise.all(this.open);
        this.agents.forEach(agent => agent.destroy());
    }

    private async sendTo(entry: SoakEntry, kind: RequestKind): Promise<void> {
        const { now, random, credential, onEnd } = this.options;
        this.lastRequest += 1;
        const id = `${kind}-${this.lastRequest}`;
        const sentAt = now();
        const { life } = entry;
        const usedCredential = credential();
        const agent = random() < newConnectionPart ? undefined : this.agentOf(entry.name);
        const answer = await request(entry.callerPort, agent, {
            path: `/${kind}/${id}`,
            method: kind === "read" ? "GET" : "POST",
            headers: {
                host,
                authorization: `Bearer ${usedCredential}`,
                "chervilrouter-request-id": id,
                "chervilrouter-deadline-ms": String(deadlineMilliseconds),
                ...(kind === "stream" && {
                    "chervilrouter-model": modelName,
                    "chervilrouter-token-counts": "100,60",
                    "chervilrouter-prompt-prefix": "a:100",
                }),
            },
            body: kind === "read" ? undefined : `body of ${id}`,
        });
        const isExcused = answer.wasNotRead || life === undefined || isHurt(life);
        const { status, answeredId, body, isWhole } = answer;
        const base = { id, kind, entry: entry.name, credential: usedCredential, sentAt, endedAt: now() };
        onEnd({ ...base, status, answeredId, body, isWhole, isExcused });
    }

    private agentOf(entry: string): http.Agent {
        let agent = this.agents.get(entry);
        if (agent === undefined) {
            agent = new http.Agent({ keepAlive: true, maxSockets: 24 });
            this.agents.set(entry, agent);
        }
        return agent;
    }
}

/** True if the process could not respond: it was killed, is paused, or ended after it had been asked to. */
function isHurt({ wasKilled, isPaused, wasTold, isRunning }: EntryLife): boolean {
    return wasKilled || isPaused || (wasTold && !isRunning);
}

interface Outgoing {
    readonly path: string;
    readonly method: string;
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: string | undefined;
}

/** Sends one request and reads its response. Never rejects: a request without a response resolves with status 0. */
export function request(port: number, agent: http.Agent | undefined, outgoing: Outgoing): Promise<Answer> {
    const { path, method, headers, body } = outgoing;
    return new Promise(resolve => {
        let isConnected = false;
        const options = { host: "127.0.0.1", port, path, method, headers, agent: agent ?? false };
        const sent = http.request(options, response => {
            let text = "";
            response.setEncoding("utf8");
            response.on("data", (piece: string) => (text += piece));
            response.on("error", () => undefined);
            response.on("close", () => {
                const named = response.headers["chervilrouter-request-id"];
                resolve({
                    status: response.statusCode ?? 0,
                    answeredId: named === undefined ? undefined : String(named),
                    body: text,
                    isWhole: response.complete,
                    wasNotRead: false,
                });
            });
        });
        const limit = setTimeout(() => sent.destroy(), deadlineMilliseconds + 3_000);
        sent.on("socket", socket => {
            isConnected = !socket.connecting;
            if (socket.connecting) {
                socket.once("connect", () => (isConnected = true));
            }
        });
        sent.on("error", () => {
            const wasNotRead = !isConnected || sent.reusedSocket;
            resolve({ status: 0, answeredId: undefined, body: "", isWhole: false, wasNotRead });
        });
        sent.on("close", () => clearTimeout(limit));
        sent.end(body);
    });
}
