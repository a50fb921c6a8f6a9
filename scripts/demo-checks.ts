/** Checks a running demo with real requests through every entry instance. */
import type { Call, CallResponse } from "./demo-calls.js";
import { authorize, createIdempotencyKey, errorOf, makeCall, readStream } from "./demo-calls.js";
import type { DemoReady } from "./demo-deployment.js";

const tokens = 24;
/** Exceeds the body limit of the example configuration, in bytes. */
const oversizedBytes = 3 * 1024 * 1024;

/** Attempts with one key that may get "inProgress" before one must get the recorded response. */
const maximumAttempts = 5;

/** Result of one check; `problem` is undefined if the check passed. */
export interface CheckResult {
    readonly entry: string;
    readonly check: string;
    readonly problem: string | undefined;
}

/** Input of one check. */
interface CheckContext {
    readonly ready: DemoReady;
    readonly entry: string;
    /** Another entry instance. */
    readonly other: string;
    readonly credential: string;
}

type Check = (context: CheckContext) => Promise<string | undefined>;

const checks: Readonly<Record<string, Check>> = {
    "streamed completion": checkStreamed,
    "plain completion": checkPlain,
    "idempotent read": checkRead,
    "action with a repeated key": checkKeyedAction,
    "action without a key": checkKeylessAction,
    "bad credential": checkBadCredential,
    "oversized body": checkOversized,
    "malformed JSON": checkMalformed,
};

/** Runs every check through every entry instance, one after another. */
export async function runChecks(
    ready: DemoReady,
    onResult: (result: CheckResult) => void,
): Promise<readonly CheckResult[]> {
    const results: CheckResult[] = [];
    for (const [index, entry] of ready.entries.entries()) {
        const other = ready.entries[(index + 1) % ready.entries.length]!;
        const credential = ready.credentials[index % ready.credentials.length]!;
        for (const [check, run] of Object.entries(checks)) {
            const problem = await run({ ready, entry, other, credential });
            const result = { entry, check, problem };
            results.push(result);
            onResult(result);
        }
    }
    return results;
}

function completion(context: CheckContext, prompt: string, stream: boolean): Call {
    return {
        method: "POST",
        url: `${context.entry}/v1/completions`,
        headers: authorize(context.credential),
        body: JSON.stringify({ model: context.ready.model, prompt, max_tokens: tokens, stream }),
    };
}

function action(context: CheckContext, entry: string, key: string | undefined): Call {
    return {
        method: "POST",
        url: `${entry}${context.ready.service.action}`,
        headers: {
            ...authorize(context.credential),
            ...(key === undefined ? {} : { "idempotency-key": key }),
        },
        body: JSON.stringify({ bug: 7, assignee: "deniz" }),
    };
}

async function fetchJson<T>(context: CheckContext, path: string): Promise<T> {
    return (await makeCall({ method: "GET", url: `${context.ready.standIns}${path}` })).json as T;
}

async function expectedAnswer(context: CheckContext, prompt: string): Promise<string> {
    const path = `/answer?prompt=${encodeURIComponent(prompt)}&tokens=${tokens}`;
    return (await fetchJson<{ text: string }>(context, path)).text;
}

function describe(response: CallResponse): string {
    return `status ${response.status} ${response.failure ?? ""} ${response.body.slice(0, 300)}`;
}

async function checkStreamed(context: CheckContext): Promise<string | undefined> {
    const prompt = `summarize the crash reports of ${context.entry}`;
    const streamed = await readStream(completion(context, prompt, true));
    if (!streamed.isWhole) {
        return `stream is incomplete: status ${streamed.status} ${streamed.errorCode ?? ""} ${streamed.failure ?? ""}`;
    }
    const isInOrder = streamed.offsets.every((offset, index) => offset === index);
    const isExpectedText = streamed.text === (await expectedAnswer(context, prompt));
    return isInOrder && isExpectedText && streamed.offsets.length === tokens
        ? undefined
        : "streamed text differs from the expected answer";
}

async function checkPlain(context: CheckContext): Promise<string | undefined> {
    const prompt = `draft the patch note of ${context.entry}`;
    const response = await makeCall(completion(context, prompt, false));
    const text = (response.json as { choices?: readonly { text?: string }[] } | undefined)?.choices?.[0]
        ?.text;
    return text === (await expectedAnswer(context, prompt)) ? undefined : describe(response);
}

async function checkRead(context: CheckContext): Promise<string | undefined> {
    const response = await makeCall({
        method: "GET",
        url: `${context.entry}${context.ready.service.read}`,
        headers: authorize(context.credential),
    });
    const labels = (response.json as { labels?: readonly string[] } | undefined)?.labels;
    return response.status === 200 && labels !== undefined ? undefined : describe(response);
}

/** Retries after the time in Retry-After while the outcome is still being recorded. */
async function retryAction(call: Call): Promise<CallResponse> {
    let response = await makeCall(call);
    for (
        let attempts = 1;
        attempts < maximumAttempts && errorOf(response.json).code === "inProgress";
        attempts += 1
    ) {
        const seconds = Number(response.headers["retry-after"]);
        await new Promise(resolve => setTimeout(resolve, seconds * 1000));
        response = await makeCall(call);
    }
    return response;
}

async function checkKeyedAction(context: CheckContext): Promise<string | undefined> {
    const key = createIdempotencyKey();
    const first = await makeCall(action(context, context.entry, key));
    const retried = await retryAction(action(context, context.entry, key));
    const elsewhere = await retryAction(action(context, context.other, key));
    const executions = await fetchJson<Record<string, number>>(context, "/executions");
    if (first.status !== 201) {
        return describe(first);
    }
    if (executions[key] !== 1) {
        return `the action ran ${executions[key] ?? 0} times`;
    }
    const wrong = [retried, elsewhere].find(
        response => response.status !== first.status || response.body !== first.body,
    );
    return wrong === undefined ? undefined : `a retry got ${describe(wrong)}`;
}

async function checkKeylessAction(context: CheckContext): Promise<string | undefined> {
    const count = async (): Promise<number> =>
        (await fetchJson<{ withoutKey: number }>(context, "/services")).withoutKey;
    const before = await count();
    const response = await makeCall(action(context, context.entry, undefined));
    const ran = (await count()) - before;
    return response.status === 201 && ran === 1
        ? undefined
        : `the action ran ${ran} times: ${describe(response)}`;
}

function expectRefusal(response: CallResponse, status: number, code: string): string | undefined {
    const error = errorOf(response.json);
    const isRight = response.status === status && error.code === code && error.notRun === true;
    return isRight ? undefined : `expected ${status} ${code}, got ${describe(response)}`;
}

async function checkBadCredential(context: CheckContext): Promise<string | undefined> {
    const call = completion(context, "anything", false);
    const response = await makeCall({ ...call, headers: authorize("nobody-knows-this") });
    return expectRefusal(response, 401, "unauthenticated");
}

async function checkOversized(context: CheckContext): Promise<string | undefined> {
    const response = await makeCall(completion(context, "x".repeat(oversizedBytes), false));
    return expectRefusal(response, 413, "requestTooLarge");
}

async function checkMalformed(context: CheckContext): Promise<string | undefined> {
    const call = completion(context, "anything", false);
    const response = await makeCall({ ...call, body: '{"model": "triage-large", ' });
    return expectRefusal(response, 400, "invalidRequest");
}
