import * as http from "node:http";
import * as net from "node:net";
import test from "ava";
import { NEVER } from "rxjs";
import { assembleConfiguration, parseConfigurationValue } from "../../../core/configuration-values.js";
import type { Fault, FaultCode } from "../../../core/errors.js";
import { hashText } from "../../../core/hashes.js";
import { sealResumeToken } from "../../../core/resume-tokens.js";
import { startCallerServer } from "../../../links/caller-server.js";
import { systemClock } from "../../../links/system-clock.js";
import { createSeals } from "../../../links/seals.js";
import type { SystemView } from "../../system-view.js";
import type { Readiness } from "../caller-handler.js";
import { createCallerHandler } from "../caller-handler.js";
import { handleCompletion } from "../completion-handler.js";
import { Credentials, hashCredential } from "../credentials.js";
import type { EntryLoop } from "../entry-loop.js";

const values = {
    "config/teams/a/models": ["m"],
    "config/teams/a/subscribers/one": { credentialHash: hashCredential("secret-a") },
    "config/teams/b/models": [],
    "config/teams/b/subscribers/two": { credentialHash: hashCredential("secret-b") },
    "config/teams/b/subscribers/three": { credentialHash: hashCredential("shared") },
    "config/teams/a/subscribers/four": { credentialHash: hashCredential("shared") },
    "config/models/m": { version: "1" },
    "config/limits/requests": { bodyBytes: 2048, jsonDepth: 8 },
};
const configuration = assembleConfiguration(
    1,
    Object.entries(values).map(([path, value]) => parseConfigurationValue(path, JSON.stringify(value))),
);
const view: SystemView = {
    configuration: () => configuration,
    instances: () => [],
    instanceOf: () => undefined,
    isLeaving: () => false,
    healthOf: () => undefined,
    placements: () => [],
    changes: NEVER,
};
const seals = createSeals([{ id: "k", secret: new Uint8Array(32) }]);
const arrived: string[] = [];
/** Stub of the entry loop: records the request as accepted and finishes its response at once. */
const loop = {
    handleRequest: (...[request, , , answer]: Parameters<EntryLoop["handleRequest"]>) => {
        arrived.push(request.caller.subscriber);
        answer.finish("stop", 0);
    },
    recordTaken: () => undefined,
    recordDisconnect: () => undefined,
} as unknown as EntryLoop;

interface CallResult {
    readonly status: number;
    readonly error?: Partial<Fault> & { readonly retryAfterMilliseconds?: number };
}

async function withServer(
    readiness: Readiness,
    use: (
        call: (body: string, headers: Readonly<Record<string, string>>) => Promise<CallResult>,
        address: string,
    ) => Promise<void>,
): Promise<void> {
    const server = await startCallerServer({
        listen: "127.0.0.1:0",
        limits: { connections: 16, headerMilliseconds: 100, requestMilliseconds: 10_000 },
        handle: createCallerHandler({
            view,
            clock: systemClock,
            credentials: () => Credentials.create([...configuration.teams.values()]),
            readiness: () => readiness,
            handleCompletion: exchange =>
                handleCompletion({ loop, view, clock: systemClock, openSeal: seals.open }, exchange),
            handleService: () => Promise.resolve(),
        }),
    });
    const call = (body: string, headers: Readonly<Record<string, string>>): Promise<CallResult> =>
        new Promise((resolve, reject) => {
            const [host, port] = server.address.split(":");
            const options = { host, port, path: "/v1/completions", method: "POST", headers, agent: false };
            const request = http.request(options, response => {
                response.setEncoding("utf8");
                let text = "";
                response.on("data", (part: string) => (text += part));
                response.on("end", () =>
                    resolve({
                        status: response.statusCode ?? 0,
                        error: (JSON.parse(text) as CallResult).error,
                    }),
                );
            });
            request.on("error", reject);
            request.end(body);
        });
    try {
        await use(call, server.address);
    } finally {
        await server.close();
    }
}

const body = JSON.stringify({ model: "m", prompt: "hello" });

function bearer(credential: string): Readonly<Record<string, string>> {
    return { authorization: `Bearer ${credential}` };
}

test.serial("accepts only a credential that belongs to exactly one subscriber", async t => {
    await withServer("ready", async call => {
        t.is((await call(body, bearer("secret-a"))).status, 200);
        for (const headers of [{}, bearer("unknown"), bearer("shared"), { authorization: "Basic x" }]) {
            const { status, error } = await call(body, headers);
            t.is(status, 401);
            t.true(error?.notRun);
            t.is(error?.step, "authenticate");
        }
        t.deepEqual(arrived.splice(0), ["one"]);
    });
});

test.serial("refuses an invalid body with a typed error", async t => {
    await withServer("ready", async call => {
        const cases: readonly (readonly [string, number, FaultCode])[] = [
            ["{", 400, "invalidRequest"],
            [JSON.stringify({ model: "m" }), 400, "invalidRequest"],
            [JSON.stringify({ model: "other", prompt: "x" }), 404, "notFound"],
            [JSON.stringify({ model: "m", prompt: "x", max_tokens: 1e9 }), 400, "invalidRequest"],
            [`{"model":"m","prompt":"x","deep":${"[".repeat(9)}${"]".repeat(9)}}`, 400, "invalidRequest"],
            ["x".repeat(4096), 413, "requestTooLarge"],
        ];
        for (const [text, status, code] of cases) {
            const result = await call(text, bearer("secret-a"));
            t.is(result.status, status);
            t.is(result.error?.code, code);
            t.true(result.error?.notRun);
        }
        t.is((await call("x".repeat(8_000_000), bearer("secret-a"))).status, 413);
        const chunked = await call("x".repeat(4096), {
            ...bearer("secret-a"),
            "transfer-encoding": "chunked",
        });
        t.is(chunked.status, 413);
        t.is((await call(body, bearer("secret-b"))).error?.code, "forbidden");
        t.deepEqual(arrived, []);
    });
});

test.serial("refuses a resume token of another subscriber or for another body", async t => {
    await withServer("ready", async call => {
        const content = {
            request: "r1",
            team: "b",
            subscriber: "two",
            model: "m",
            promptHash: hashText("hello"),
            group: "g",
            instance: "i",
            epoch: 1,
            attempt: 1,
            expiresAt: Date.now() + 600_000,
        };
        const send = (token: string): Promise<CallResult> =>
            call(body, { ...bearer("secret-a"), "x-chervil-resume": token, "last-event-id": "3" });
        t.is((await send(sealResumeToken(content, seals.seal))).status, 403);
        t.is((await send("k.forged")).status, 403);
        const own = { ...content, team: "a", subscriber: "one" };
        t.is((await send(sealResumeToken({ ...own, promptHash: "other" }, seals.seal))).status, 400);
        const lost = await send(sealResumeToken(own, seals.seal));
        t.is(lost.error?.code, "streamLost");
        t.false(lost.error?.notRun);
        t.deepEqual(arrived, []);
    });
});

test.serial("refuses requests with a retry time while the process is starting or leaving", async t => {
    for (const readiness of ["starting", "leaving"] as const) {
        await withServer(readiness, async call => {
            const { status, error } = await call(body, bearer("secret-a"));
            t.is(status, 503);
            t.true(error?.notRun);
            t.true((error?.retryAfterMilliseconds ?? 0) > 0);
        });
    }
});

test.serial("closes a connection whose request header does not end in time", async t => {
    await withServer("ready", async (_, address) => {
        const [host, port] = address.split(":");
        const socket = net.connect(Number(port), host);
        socket.write("POST /v1/completions HTTP/1.1\r\nhost: x\r\n");
        socket.resume();
        await new Promise<void>(resolve => socket.on("close", () => resolve()));
        t.pass();
    });
});
