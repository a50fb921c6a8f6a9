/** Callers of the real processes; each records its responses. */
import type { StreamedAnswer } from "../../scripts/demo-calls.js";
import { authorize, createIdempotencyKey, errorOf, makeCall, readStream } from "../../scripts/demo-calls.js";
import { demoModel } from "../../scripts/demo-layout.js";
import type { ActionAttempt, ActionRecord, StreamEnd, StreamRecord } from "./process-history.js";

const maximumConnections = 12;
const maximumAttempts = 4;
const attemptTimeoutMilliseconds = 8000;
const streamTimeoutMilliseconds = 45_000;
const attemptIntervalMilliseconds = 300;

/** Error codes after which a caller retries; all other errors are final. */
const retryableErrors = new Set([
    "noReplica",
    "overloaded",
    "shuttingDown",
    "storeUnavailable",
    "endpointFailed",
    "deadlineUnreachable",
]);

/** Failures that are no broken connection: the connection was refused, or the caller's time-out elapsed. */
const callerFailurePattern = /ECONNREFUSED|timeout/;

/** Waits; for use with real processes only. */
export function sleep(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

/** Dependencies of callers on the deployment. */
export interface CallerContext {
    readonly pickEntry: () => string;
    /** Number of times that an entry instance was killed so far. */
    readonly killCountOf: (entry: string) => number;
    readonly random: () => number;
}

/** Runs one keyed action; a failed attempt is retried at a random entry instance, as behind a load balancer. */
export async function runAction(context: CallerContext, credential: string): Promise<ActionRecord> {
    const key = createIdempotencyKey();
    const attempts: ActionAttempt[] = [];
    const requestedResponses = context.random() < 0.3 ? 2 : 1;
    let responses = 0;
    while (attempts.length < maximumAttempts && responses < requestedResponses) {
        const attempt = await tryAction(context, key, credential);
        attempts.push(attempt);
        responses += attempt.status >= 200 && attempt.status < 300 ? 1 : 0;
        await sleep(attemptIntervalMilliseconds);
    }
    return { key, attempts };
}

async function tryAction(context: CallerContext, key: string, credential: string): Promise<ActionAttempt> {
    const entry = context.pickEntry();
    const kills = context.killCountOf(entry);
    const response = await makeCall({
        method: "POST",
        url: `${entry}/services/tracker/assignments`,
        headers: { ...authorize(credential), "idempotency-key": key },
        body: JSON.stringify({ bug: 7 }),
        timeoutMilliseconds: attemptTimeoutMilliseconds,
    });
    const { code, notRun } = errorOf(response.json);
    const { status, body, failure } = response;
    const wasCut =
        failure !== undefined && !callerFailurePattern.test(failure) && context.killCountOf(entry) === kills;
    return { entry, status, body, code, notRun, failure, wasCut };
}

/** Caller of one streamed completion; after a broken connection it continues at a random entry instance. */
export class StreamCaller {
    private readonly context: CallerContext;
    private readonly credential: string;
    private readonly prompt: string;
    private readonly tokens: number;
    private readonly silentCuts: string[] = [];
    private readonly offsets: number[] = [];
    private text = "";
    private token: string | undefined;
    private connections = 0;
    private end: StreamEnd = { kind: "cut", failure: "no connection" };

    private constructor(context: CallerContext, credential: string, prompt: string, tokens: number) {
        this.context = context;
        this.credential = credential;
        this.prompt = prompt;
        this.tokens = tokens;
    }

    public static create(
        context: CallerContext,
        credential: string,
        prompt: string,
        tokens: number,
    ): StreamCaller {
        return new StreamCaller(context, credential, prompt, tokens);
    }

    public async run(): Promise<StreamRecord> {
        while (this.connections < maximumConnections && (await this.connect())) {
            await sleep(attemptIntervalMilliseconds);
        }
        const { prompt, tokens, text, offsets, connections, silentCuts, end } = this;
        return { prompt, tokens, text, offsets, connections, silentCuts, end };
    }

    /** Opens one connection and reads it to its end; returns true if the caller should reconnect. */
    private async connect(): Promise<boolean> {
        this.connections += 1;
        const entry = this.context.pickEntry();
        const kills = this.context.killCountOf(entry);
        const answer = await this.read(entry);
        this.text += answer.text;
        this.offsets.push(...answer.offsets);
        this.token = answer.resumeToken ?? this.token;
        const mayContinue = this.offsets.length === 0 || this.token !== undefined;
        if (answer.isWhole) {
            this.end = { kind: "whole" };
            return false;
        }
        if (answer.errorCode !== undefined) {
            this.end = { kind: "error", code: answer.errorCode };
            return mayContinue && retryableErrors.has(answer.errorCode);
        }
        const failure = `${entry}: ${answer.failure} after ${this.offsets.length} tokens`;
        this.end = { kind: "cut", failure };
        const wasAccepted = answer.status !== 0;
        if (wasAccepted && this.context.killCountOf(entry) === kills) {
            this.silentCuts.push(failure);
        }
        return mayContinue;
    }

    private read(entry: string): Promise<StreamedAnswer> {
        const body = { model: demoModel, prompt: this.prompt, max_tokens: this.tokens, stream: true };
        const isFresh = this.offsets.length === 0 || this.token === undefined;
        const resume: Readonly<Record<string, string>> = isFresh
            ? {}
            : { "x-chervil-resume": this.token ?? "", "last-event-id": String(this.offsets.length - 1) };
        return readStream({
            method: "POST",
            url: `${entry}/v1/completions`,
            headers: { ...authorize(this.credential), ...resume },
            body: JSON.stringify(isFresh ? body : { ...body, chervil_delivered: this.text }),
            timeoutMilliseconds: streamTimeoutMilliseconds,
        });
    }
}
