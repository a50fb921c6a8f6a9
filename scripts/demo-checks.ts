/** Checks of a running demo: real requests through every entry instance. */
import type { Call, CallAnswer } from "./demo-callers.js";
import { authorize, createKey, errorOf, makeCall, readStream } from "./demo-callers.js";
import type { DemoReady } from "./demo-deployments.js";

const tokens = 24;
/** Longer than any body that the example's limits allow, in bytes. */
const oversizedBytes = 3 * 1024 * 1024;

/** Repeats of one key that may be told "in progress" before one must get the recorded answer. */
const maximumRepeats = 5;

/** Result of one check; `problem` is undefined if it did what it should. */
export interface CheckResult {
    readonly entry: string;
    readonly check: string;
    readonly problem: string | undefined;
}

/** What one check needs. */
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

async function ask<T>(context: CheckContext, path: string): Promise<T> {
    return (await makeCall({ method: "GET", url: `${context.ready.standIns}${path}` })).json as T;
}

async function rightAnswer(context: CheckContext, prompt: string): Promise<string> {
    const path = `/answer?prompt=${encodeURIComponent(prompt)}&tokens=${tokens}`;
    return (await ask<{ text: string }>(context, path)).text;
}

function describe(answer: CallAnswer): string {
    return `status ${answer.status} ${answer.failure ?? ""} ${answer.body.slice(0, 300)}`;
}

async function checkStreamed(context: CheckContext): Promise<string | undefined> {
    const prompt = `summarize the crash reports of ${context.entry}`;
    const streamed = await readStream(completion(context, prompt, true));
    if (!streamed.isWhole) {
        return `not whole: status ${streamed.status} ${streamed.errorCode ?? ""} ${streamed.failure ?? ""}`;
    }
    const inOrder = streamed.offsets.every((offset, index) => offset === index);
    const right = streamed.text === (await rightAnswer(context, prompt));
    return inOrder && right && streamed.offsets.length === tokens ? undefined : "not the right answer";
}

async function checkPlain(context: CheckContext): Promise<string | undefined> {
    const prompt = `draft the patch note of ${context.entry}`;
    const answer = await makeCall(completion(context, prompt, false));
    const text = (answer.json as { choices?: readonly { text?: string }[] } | undefined)?.choices?.[0]?.text;
    return text === (await rightAnswer(context, prompt)) ? undefined : describe(answer);
}

async function checkRead(context: CheckContext): Promise<string | undefined> {
    const answer = await makeCall({
        method: "GET",
        url: `${context.entry}${context.ready.service.read}`,
        headers: authorize(context.credential),
    });
    const labels = (answer.json as { labels?: readonly string[] } | undefined)?.labels;
    return answer.status === 200 && labels !== undefined ? undefined : describe(answer);
}

/** Repeats as a caller should: comes back when told to while the outcome is still being recorded. */
async function repeatAction(call: Call): Promise<CallAnswer> {
    let answer = await makeCall(call);
    for (let tries = 1; tries < maximumRepeats && errorOf(answer.json).code === "inProgress"; tries += 1) {
        const seconds = Number(answer.headers["retry-after"]);
        await new Promise(resolve => setTimeout(resolve, seconds * 1000));
        answer = await makeCall(call);
    }
    return answer;
}

async function checkKeyedAction(context: CheckContext): Promise<string | undefined> {
    const key = createKey();
    const first = await makeCall(action(context, context.entry, key));
    const same = await repeatAction(action(context, context.entry, key));
    const elsewhere = await repeatAction(action(context, context.other, key));
    const executions = await ask<Record<string, number>>(context, "/executions");
    if (first.status !== 201) {
        return describe(first);
    }
    if (executions[key] !== 1) {
        return `ran ${executions[key] ?? 0} times`;
    }
    const wrong = [same, elsewhere].find(
        answer => answer.status !== first.status || answer.body !== first.body,
    );
    return wrong === undefined ? undefined : `a repeat got ${describe(wrong)}`;
}

async function checkKeylessAction(context: CheckContext): Promise<string | undefined> {
    const count = async (): Promise<number> =>
        (await ask<{ withoutKey: number }>(context, "/services")).withoutKey;
    const before = await count();
    const answer = await makeCall(action(context, context.entry, undefined));
    const ran = (await count()) - before;
    return answer.status === 201 && ran === 1 ? undefined : `ran ${ran} times: ${describe(answer)}`;
}

function expectRefusal(answer: CallAnswer, status: number, code: string): string | undefined {
    const error = errorOf(answer.json);
    const isRight = answer.status === status && error.code === code && error.notRun === true;
    return isRight ? undefined : `expected ${status} ${code}, got ${describe(answer)}`;
}

async function checkBadCredential(context: CheckContext): Promise<string | undefined> {
    const call = completion(context, "anything", false);
    const answer = await makeCall({ ...call, headers: authorize("nobody-knows-this") });
    return expectRefusal(answer, 401, "unauthenticated");
}

async function checkOversized(context: CheckContext): Promise<string | undefined> {
    const answer = await makeCall(completion(context, "x".repeat(oversizedBytes), false));
    return expectRefusal(answer, 413, "requestTooLarge");
}

async function checkMalformed(context: CheckContext): Promise<string | undefined> {
    const call = completion(context, "anything", false);
    const answer = await makeCall({ ...call, body: '{"model": "triage-large", ' });
    return expectRefusal(answer, 400, "invalidRequest");
}
