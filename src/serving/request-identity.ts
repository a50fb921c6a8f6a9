/** Tells whether a request is a repetition of an earlier one, whatever the id of its attempt. */
import { hashIdentity } from "../core/identity-hashes.js";
import type { CallerRequest } from "./wire-format.js";

/** Hashes of what a caller repeats if it sends the same request again; calculated when they are first read. */
export class RequestIdentity {
    private ownHash: string | undefined;
    private ownResourceHash: string | undefined;

    private constructor(
        private readonly request: CallerRequest,
        private readonly body: Buffer | undefined,
    ) {}

    public static create(request: CallerRequest, body: Buffer | undefined): RequestIdentity {
        return new RequestIdentity(request, body);
    }

    /** Hash of the method, host, path and query, caller, prompt and body. */
    public get hash(): string {
        const { target, work } = this.request;
        this.ownHash ??= this.hashWith([target, work?.promptStatement ?? ""]);
        return this.ownHash;
    }

    /** Hash of the method, host, path, caller and body, without the query, which some callers vary to pass caches. */
    public get resourceHash(): string {
        this.ownResourceHash ??= this.hashWith([this.request.path]);
        return this.ownResourceHash;
    }

    private hashWith(parts: readonly string[]): string {
        const { method, host, credential } = this.request;
        return hashIdentity([method, host, credential, ...parts], this.body);
    }
}
