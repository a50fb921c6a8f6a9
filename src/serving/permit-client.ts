/**
 * Obtains permits for requests to replicas that limit their rate, from the entry instances that issue them. Covers issuers
 * that do not respond, and remembers when each replica's next permit starts, so that requests that cannot wait go elsewhere
 * without asking.
 */
import { coldPermitMilliseconds } from "./availability/cold-rate.js";
import { keepOnlyKeys } from "./collections.js";
import { issuersPerReplica } from "./permit-members.js";
import type { PermitQuestion, PermitReply } from "./permit-issuer.js";

/** Time after which an unanswered question is sent again, in milliseconds: a datagram may be lost. */
const secondQuestionDelayMilliseconds = 25;
/** Time-out of a question to one issuer, in milliseconds; covers a process whose share of a processor is used up. */
const questionTimeoutMilliseconds = 110;
/** Time for which an issuer that did not respond is not asked, in milliseconds. */
const unresponsiveMilliseconds = 1_000;
/** Time after which a replica is considered again for which no issuer responds, in milliseconds. */
const noIssuerWaitMilliseconds = 200;

/**
 * Called at the end of a question: with true when the request may be sent, until `expiresAt` in local monotonic milliseconds,
 * and with false if it must not be.
 */
export type OnPermit = (isGranted: boolean, expiresAt: number) => void;

export interface PermitClientOptions {
    /** Name of this entry instance. */
    readonly name: string;
    /** Identifies the first question; a later start of this entry instance must not use the same ones again. */
    readonly firstId?: number;
    /** Local monotonic milliseconds. */
    readonly now: () => number;
    /** Returns the issuers for a replica in the order in which they are asked. */
    readonly issuersOf: (replica: string) => readonly string[];
    /** Answers a question for this entry instance itself. */
    readonly issue: (question: PermitQuestion) => PermitReply;
    /** Sends a question to another entry instance; `handleReply` is called with its reply. */
    readonly send: (issuer: string, id: number, question: PermitQuestion) => void;
    readonly schedule: (milliseconds: number, then: () => void) => void;
}

interface OpenQuestion {
    readonly question: PermitQuestion;
    /** Issuers that are asked if the present one does not issue the permit. */
    readonly further: readonly string[];
    readonly issuer: string;
    readonly onEnd: OnPermit;
    /** Local monotonic milliseconds at which the present issuer was asked. */
    readonly askedAt: number;
}

export class PermitClient {
    private readonly open = new Map<number, OpenQuestion>();
    /** Local monotonic milliseconds at which the next permit of a replica starts. */
    private readonly nextPermitAt = new Map<string, number>();
    /** Local monotonic milliseconds until which an issuer is not asked. */
    private readonly unresponsiveUntil = new Map<string, number>();
    private lastId: number;

    private constructor(private readonly options: PermitClientOptions) {
        this.lastId = options.firstId ?? 0;
    }

    public static create(options: PermitClientOptions): PermitClient {
        return new PermitClient(options);
    }

    /** Returns the time until a replica's next permit starts, as far as known, in milliseconds. */
    public waitOf(replica: string): number {
        return Math.max(0, (this.nextPermitAt.get(replica) ?? 0) - this.options.now());
    }

    /** Asks for a permit. */
    public request(question: PermitQuestion, onEnd: OnPermit): void {
        const now = this.options.now();
        const issuers = this.options
            .issuersOf(question.replica)
            .filter(name => now >= (this.unresponsiveUntil.get(name) ?? 0))
            .slice(0, issuersPerReplica);
        this.ask(question, issuers, onEnd);
    }

    public handleReply(id: number, reply: PermitReply): void {
        const asked = this.open.get(id);
        if (asked !== undefined) {
            this.open.delete(id);
            this.unresponsiveUntil.delete(asked.issuer);
            this.finish(asked, reply);
        }
    }

    public retainReplicas(replicas: { readonly has: (replica: string) => boolean }): void {
        keepOnlyKeys(this.nextPermitAt, replicas);
    }

    private ask(question: PermitQuestion, issuers: readonly string[], onEnd: OnPermit): void {
        const [issuer, ...further] = issuers;
        if (issuer === undefined) {
            this.nextPermitAt.set(question.replica, this.options.now() + noIssuerWaitMilliseconds);
            onEnd(false, 0);
            return;
        }
        const asked: OpenQuestion = { question, further, issuer, onEnd, askedAt: this.options.now() };
        if (issuer === this.options.name) {
            this.finish(asked, this.options.issue(question));
            return;
        }
        this.lastId += 1;
        const id = this.lastId;
        this.open.set(id, asked);
        this.options.send(issuer, id, question);
        this.options.schedule(secondQuestionDelayMilliseconds, () => {
            if (this.open.has(id)) {
                this.options.send(issuer, id, question);
            }
        });
        this.options.schedule(questionTimeoutMilliseconds, () => {
            if (this.open.delete(id)) {
                this.unresponsiveUntil.set(issuer, this.options.now() + unresponsiveMilliseconds);
                this.ask(question, further, onEnd);
            }
        });
    }

    private finish({ question, further, onEnd, askedAt }: OpenQuestion, reply: PermitReply): void {
        if (reply.kind === "unavailable") {
            this.ask(question, further, onEnd);
            return;
        }
        this.nextPermitAt.set(question.replica, this.options.now() + reply.nextMilliseconds);
        if (reply.kind === "denied") {
            onEnd(false, 0);
            return;
        }
        // A permit that is used late, as by a process that was frozen, would add to those of another second.
        const expiresAt =
            question.isStrict === true
                ? askedAt + reply.delayMilliseconds + coldPermitMilliseconds
                : Number.POSITIVE_INFINITY;
        const end = (): void => onEnd(this.options.now() <= expiresAt, expiresAt);
        if (reply.delayMilliseconds <= 0) {
            end();
        } else {
            this.options.schedule(reply.delayMilliseconds, end);
        }
    }
}
