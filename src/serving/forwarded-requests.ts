/**
 * Encoding of a request that one entry instance forwards to another. The receiver makes all attempts at replicas that the
 * sender may still make, with the sender's deadline; it forwards nothing itself.
 */
import type { IncomingHttpHeaders } from "node:http";
import * as z from "zod";
import { parseJson } from "../links/json.js";
import { RequestIdentity } from "./request-identity.js";
import type { AdmittedRequest } from "./exchange-context.js";
import type { Route, RouteTable } from "./serving-configuration.js";

/** Bytes of the length of the description, which precedes it. */
const lengthBytes = 4;

/** Response header that tells a refusal of the entry instance itself from a replica's response. */
const forwardOutcomeHeader = "chervil-outcome";
/** Response header with the number of replicas that may have run a request without a complete response. */
const forwardRunsHeader = "chervil-runs";
const refusalStatus = 503;

/** What an entry instance states of a request that was forwarded to it and not served. */
export interface ForwardReply {
    /**
     * "refused": no replica ran the request. "unavailable": neither, and another entry instance may serve it. Undefined in
     * all other responses.
     */
    readonly outcome: "refused" | "unavailable" | undefined;
    /** Number of replicas that may have run the request; undefined in a replica's response. */
    readonly runs: number | undefined;
}

/** Headers of an error response to the sender of a forwarded request, as alternating names and values. */
export function forwardReplyHeaders(status: number, outcome: string, runs: number): readonly string[] {
    if (status !== refusalStatus) {
        return [forwardRunsHeader, String(Math.max(1, runs))];
    }
    return [forwardOutcomeHeader, outcome === "refused" ? "refused" : "unavailable"];
}

/** A response that a replica has signed is relayed with all its headers, so these are no statement of the entry instance. */
export function readForwardReply(headers: IncomingHttpHeaders, isSigned: boolean): ForwardReply {
    if (isSigned) {
        return { outcome: undefined, runs: undefined };
    }
    const outcome = headers[forwardOutcomeHeader];
    const runs = headers[forwardRunsHeader];
    return {
        outcome: outcome === "refused" || outcome === "unavailable" ? outcome : undefined,
        runs: runs === undefined ? undefined : Number(runs),
    };
}

const descriptionSchema = z.object({
    request: z.object({
        id: z.string().optional(),
        method: z.string(),
        host: z.string(),
        target: z.string(),
        path: z.string(),
        timeoutMilliseconds: z.number().optional(),
        lastEventId: z.number().optional(),
        work: z
            .object({
                model: z.string(),
                promptTokens: z.number(),
                promptSegments: z.array(z.string()),
                promptStatement: z.string(),
                maximumOutputTokens: z.number().optional(),
                outputHintTokens: z.number().optional(),
            })
            .optional(),
        headers: z.array(z.string()),
    }),
    service: z.string(),
    workspace: z.string().optional(),
    rank: z.number(),
    route: z.object({
        name: z.string(),
        host: z.string(),
        prefix: z.string(),
        repeatability: z.enum(["idempotent", "once", "stream"]),
        timeoutMilliseconds: z.number(),
        objectiveMilliseconds: z.number(),
        rank: z.number(),
        maximumAttempts: z.number(),
        isResumable: z.boolean(),
    }),
    /** Time since the request arrived at the sender, in milliseconds. */
    elapsedMilliseconds: z.number(),
    remainingMilliseconds: z.number(),
    from: z.string(),
    triedInstances: z.array(z.string()),
    hasBegunResponse: z.boolean(),
});

/** What the sender of a forwarded request adds to it. */
export interface ForwardingFacts {
    /** Name of the sending entry instance. */
    readonly from: string;
    /** Number of replicas that may still run the request. */
    readonly maximumRuns: number;
    readonly lastEventId: number | undefined;
    readonly triedInstances: readonly string[];
    /** True if the caller is already reading the response. */
    readonly hasBegunResponse: boolean;
    /** Local monotonic milliseconds. */
    readonly now: number;
}

/** Encodes a request with its body. */
export function encodeForwardedRequest(admitted: AdmittedRequest, facts: ForwardingFacts): Buffer {
    const { request, route, service, workspace, rank, body } = admitted;
    const { name, host, prefix, repeatability, timeoutMilliseconds, objectiveMilliseconds, isResumable } =
        route;
    const description: z.infer<typeof descriptionSchema> = {
        request: {
            id: request.id,
            method: request.method,
            host: request.host,
            target: request.target,
            path: request.path,
            timeoutMilliseconds: request.timeoutMilliseconds,
            lastEventId: facts.lastEventId,
            work: request.work === undefined ? undefined : copyWork(request.work),
            headers: [...request.headers],
        },
        service,
        workspace,
        rank,
        route: {
            name,
            host,
            prefix,
            repeatability,
            timeoutMilliseconds,
            objectiveMilliseconds,
            rank: route.rank,
            maximumAttempts: facts.maximumRuns,
            isResumable,
        },
        elapsedMilliseconds: facts.now - admitted.arrivedAt,
        remainingMilliseconds: admitted.deadline - facts.now,
        from: facts.from,
        triedInstances: [...facts.triedInstances],
        hasBegunResponse: facts.hasBegunResponse,
    };
    const text = Buffer.from(JSON.stringify(description));
    const length = Buffer.alloc(lengthBytes);
    length.writeUInt32BE(text.length);
    return Buffer.concat([length, text, body ?? Buffer.alloc(0)]);
}

/** Decodes a forwarded request that arrived at `now` (local monotonic milliseconds); undefined if it cannot be read. */
export function decodeForwardedRequest(
    bytes: Buffer,
    table: RouteTable,
    now: number,
): AdmittedRequest | undefined {
    if (bytes.length < lengthBytes) {
        return undefined;
    }
    const end = lengthBytes + bytes.readUInt32BE(0);
    const parsed = descriptionSchema.safeParse(parseJson(bytes.subarray(lengthBytes, end).toString("utf8")));
    if (end > bytes.length || !parsed.success) {
        return undefined;
    }
    const { data } = parsed;
    const route: Route = { ...data.route, targets: [], allowsAnonymous: false };
    const request = {
        ...data.request,
        id: data.request.id,
        credential: undefined,
        timeoutMilliseconds: data.request.timeoutMilliseconds,
        lastEventId: data.request.lastEventId,
        work: data.request.work,
    };
    const body = end === bytes.length ? undefined : bytes.subarray(end);
    return {
        request,
        table,
        route,
        service: data.service,
        workspace: data.workspace,
        rank: data.rank,
        body,
        identity: RequestIdentity.create(request, body),
        arrivedAt: now - data.elapsedMilliseconds,
        deadline: now + data.remainingMilliseconds,
        forwarded: {
            from: data.from,
            triedInstances: data.triedInstances,
            hasBegunResponse: data.hasBegunResponse,
        },
    };
}

function copyWork(work: NonNullable<AdmittedRequest["request"]["work"]>): {
    model: string;
    promptTokens: number;
    promptSegments: string[];
    promptStatement: string;
    maximumOutputTokens?: number;
    outputHintTokens?: number;
} {
    return { ...work, promptSegments: [...work.promptSegments] };
}
