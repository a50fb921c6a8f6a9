/** Callers of the soak. They keep connections alive until the process ends, and send some requests over new ones. */
import * as http from "node:http";
import { randomInteger } from "../../src/core/random-numbers.js";
import { detectReset } from "../../src/links/connection-end.js";
import { entryBounds } from "./soak-entry.js";
import type { EntryProcess, SoakEntry } from "./soak-entry.js";
import type { CallerRecord, RequestKind } from "./history.js";
import { host, modelName } from "./workload.js";

/** Time limit that callers state, in milliseconds. */
export const deadlineMilliseconds = 3_500;
/** Fraction of the requests that are sent over a new connection instead of a kept one. */
const newConnectionFraction = 0.3;

export interface SoakCallersOptions {
    readonly entries: readonly SoakEntry[];
    readonly now: () => number;
    readonly random: () => number;
    /** A credential that is valid now, also at processes whose configuration is one version behind. */
    readonly credential: () => string;
    readonly onEnd: (record: CallerRecord) => void;
}

interface CallerResponse {
    readonly status: number;
    readonly answeredId: string | undefined;
    readonly body: string;
    readonly isWhole: boolean;
    readonly isConnected: boolean;
    readonly isOnKeptConnection: boolean;
    /** When the last byte of the request was written, by `performance.now()`; undefined if it never was. */
    readonly writtenAt: number | undefined;
}

export class SoakCallers {
    private readonly agents = new Map<string, http.Agent>();
    private readonly openRequests = new Set<Promise<void>>();
    private requestCount = 0;

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
        const pendingRequest = this.sendTo(entry, kind).then(
            () => void this.openRequests.delete(pendingRequest),
        );
        this.openRequests.add(pendingRequest);
    }

    /** Waits until all requests have ended. */
    public async waitUntilIdle(): Promise<void> {
        await Promise.all(this.openRequests);
        this.agents.forEach(agent => agent.destroy());
    }

    private async sendTo(entry: SoakEntry, kind: RequestKind): Promise<void> {
        const { now, random, credential, onEnd } = this.options;
        this.requestCount += 1;
        const id = `${kind}-${this.requestCount}`;
        const sentAt = now();
        const clockOffset = performance.now() - sentAt;
        const { currentProcess: entryProcess } = entry;
        const usedCredential = credential();
        const agent = random() < newConnectionFraction ? undefined : this.agentOf(entry.name);
        const response = await sendRequest(entry.callerPort, agent, {
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
        const isExcused =
            !response.isConnected ||
            entryProcess === undefined ||
            isDisturbed(entryProcess, sentAt + clockOffset);
        const { status, answeredId, body, isWhole, isOnKeptConnection } = response;
        const writtenAt = response.writtenAt === undefined ? sentAt : response.writtenAt - clockOffset;
        const base = { id, kind, entry: entry.name, credential: usedCredential, sentAt, endedAt: now() };
        onEnd({ ...base, writtenAt, status, answeredId, body, isWhole, isOnKeptConnection, isExcused });
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

/** Fraction of the grace period after which a process may end the requests that still run. */
const graceFraction = 5 / 6;
/** Time after a request to end from which no request is excused by the end of the grace period, in milliseconds. */
const lastExcusedSendMilliseconds = 3_000;

/**
 * True if the process could not respond: it was killed, paused meanwhile, or ended or near the end of its grace period
 * after it had been asked to end.
 */
function isDisturbed(entryProcess: EntryProcess, sentAt: number): boolean {
    const { wasKilled, isPaused, resumedAt, wasAskedToEnd, askedToEndAt, isRunning } = entryProcess;
    const isLateInGrace = performance.now() >= askedToEndAt + graceFraction * entryBounds.graceMilliseconds;
    const isGraceOver = isLateInGrace && sentAt <= askedToEndAt + lastExcusedSendMilliseconds;
    return wasKilled || isPaused || resumedAt >= sentAt || (wasAskedToEnd && !isRunning) || isGraceOver;
}

interface OutgoingRequest {
    readonly path: string;
    readonly method: string;
    readonly headers: http.OutgoingHttpHeaders;
    readonly body: string | undefined;
}

/** Sends one request and reads its response. Never rejects: a request without a response resolves with status 0. */
export function sendRequest(
    port: number,
    agent: http.Agent | undefined,
    outgoing: OutgoingRequest,
): Promise<CallerResponse> {
    const { path, method, headers } = outgoing;
    return new Promise(resolve => {
        let isConnected = false;
        let isReset = false;
        let writtenAt: number | undefined;
        let received: http.IncomingMessage | undefined;
        let body = "";
        const options = { host: "127.0.0.1", port, path, method, headers, agent: agent ?? false };
        const clientRequest = http.request(options, response => {
            received = response;
            response.setEncoding("utf8");
            response.on("data", (chunk: string) => (body += chunk));
            response.on("error", () => (isReset = true));
        });
        const timeout = setTimeout(() => clientRequest.destroy(), deadlineMilliseconds + 3_000);
        const onEnd = (): void => detectReset(clientRequest.socket!, wasReset => (isReset ||= wasReset));
        clientRequest.on("socket", socket => {
            isConnected = !socket.connecting;
            if (socket.connecting) {
                socket.once("connect", () => (isConnected = true));
            }
            socket.prependListener("end", onEnd);
        });
        clientRequest.on("finish", () => (writtenAt = performance.now()));
        clientRequest.on("error", () => (isReset = true));
        clientRequest.on("close", () => {
            clearTimeout(timeout);
            clientRequest.socket?.removeListener("end", onEnd);
            const answeredId = received?.headers["chervilrouter-request-id"];
            resolve({
                status: received?.statusCode ?? 0,
                answeredId: answeredId === undefined ? undefined : String(answeredId),
                body,
                isWhole: received?.complete === true && !isReset,
                isConnected,
                isOnKeptConnection: clientRequest.reusedSocket,
                writtenAt,
            });
        });
        clientRequest.end(outgoing.body);
    });
}
