/** What a deployment's HTTP conventions say of requests and answers; an adapter supplies the translation. */
import type { IncomingMessage } from "node:http";

/** Work that a request asks of a model engine. */
export interface EngineWork {
    readonly model: string;
    readonly promptTokens: number;
}

/** One request of a caller, without its body. */
export interface CallerRequest {
    /** Names this attempt of the caller; undefined if the caller sent none. */
    readonly id: string | undefined;
    readonly method: string;
    readonly host: string;
    /** Path and query, unchanged. */
    readonly target: string;
    readonly path: string;
    readonly credential: string | undefined;
    /** How long the caller will wait, in milliseconds. */
    readonly patienceMilliseconds: number | undefined;
    /** Last event of the stream that the caller already has. */
    readonly lastEventId: number | undefined;
    readonly work: EngineWork | undefined;
    /** Names and values in turn, without those that this system sets or that concern one connection. */
    readonly headers: readonly string[];
}

/** What this system tells a replica beside the caller's own headers. */
export interface SendOptions {
    readonly instance: string;
    readonly remainingMilliseconds: number;
    readonly workspace: string | undefined;
    readonly lastEventId: number | undefined;
    /** Urgency at the replica, from 0 (first) to 9; undefined leaves the replica's default. */
    readonly rank: number | undefined;
    /** Undefined if the request has no body. */
    readonly bodyBytes: number | undefined;
}

/** Head of a replica's answer. */
export interface AnswerHead {
    readonly status: number;
    /** The request that the replica says it answers. */
    readonly requestId: string | undefined;
    /** True if the replica vouches for the answer. */
    readonly isSigned: boolean;
    /** True only if the replica states that it did not run the request. */
    readonly isNotRun: boolean;
    /** True if the message itself shows where it ends; otherwise it ends with its connection. */
    readonly isFramed: boolean;
    /** True if the body is in an encoding that no caller asked for. */
    readonly hasForeignEncoding: boolean;
    /** Names and values in turn, without those that concern one connection. */
    readonly headers: readonly string[];
}

/** Translation between HTTP messages and the types above. */
export interface WireFormat {
    readonly decodeRequest: (message: IncomingMessage) => CallerRequest;
    /** Headers of a send, names and values in turn. */
    readonly encodeSend: (request: CallerRequest, options: SendOptions) => readonly string[];
    readonly decodeAnswer: (message: IncomingMessage) => AnswerHead;
    /** Header of this system's own answers that names the request. */
    readonly answeredRequestHeader: string;
}
