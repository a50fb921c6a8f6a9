/** Connects permits for requests to replicas that limit their rate to the datagrams between entry instances. */
import type { Clock } from "../../contracts/clocks.js";
import type { PartLogger } from "../../links/logs.js";
import type { RequestLimits } from "../../serving/dispatcher.js";
import type { FleetInstance } from "../../serving/fleets.js";
import type { PermitMessage } from "../../serving/peer-link.js";
import { PermitClient } from "../../serving/permit-client.js";
import type { PermitQuestion, PermitReply } from "../../serving/permit-issuer.js";
import { PermitIssuer } from "../../serving/permit-issuer.js";
import { PermitMembers } from "../../serving/permit-members.js";
import type { LimitAnnouncement, LimitStatement } from "../../serving/rate-limits.js";
import { RateLimits } from "../../serving/rate-limits.js";

/** Minimum silence after which an entry instance no longer counts as an issuer, in milliseconds. */
const minimumExpiryMilliseconds = 1_000;
/** Number of replies that are kept for questions that are sent again. */
const maximumKeptReplies = 256;

export interface RequestPermitsOptions {
    /** Name of this entry instance. */
    readonly name: string;
    readonly clock: Clock;
    /** Time after which the state of a silent entry instance expires, in milliseconds. */
    readonly peerExpiryMilliseconds: () => number;
    /** True while this process knows the other entry instances and does not shut down. */
    readonly isAvailable: () => boolean;
    readonly send: (peer: string, message: PermitMessage) => void;
    /** Called with each reply of this process. */
    readonly onReply: (reply: PermitReply) => void;
    readonly log: PartLogger;
}

export class RequestPermits implements RequestLimits {
    private readonly limits = RateLimits.create();
    private readonly issuer = PermitIssuer.create();
    private readonly members: PermitMembers;
    private readonly client: PermitClient;
    /** Recent replies by asker and question. */
    private readonly replies = new Map<string, PermitReply>();

    private constructor(private readonly options: RequestPermitsOptions) {
        const { name, peerExpiryMilliseconds, send } = options;
        this.members = PermitMembers.create({
            name,
            expiryMilliseconds: () => Math.max(minimumExpiryMilliseconds, peerExpiryMilliseconds()),
        });
        this.client = PermitClient.create({
            name,
            now: () => this.now(),
            issuersOf: replica => this.members.issuersOf(replica, this.now()),
            issue: question => this.issue(question),
            send: (peer, id, question) => send(peer, { kind: "question", id, question }),
            schedule: (milliseconds, then) => void setTimeout(then, milliseconds).unref(),
        });
    }

    public static create(options: RequestPermitsOptions): RequestPermits {
        return new RequestPermits(options);
    }

    /** True if this process issues permits, as its datagrams state. */
    public get isIssuing(): boolean {
        return this.members.isIssuing(this.now());
    }

    /** Known limits, for the other entry instances. */
    public get announcement(): readonly LimitAnnouncement[] {
        return this.limits.announcement(this.now());
    }

    public isLimited(instance: FleetInstance): boolean {
        return this.limits.rateOf(instance) !== undefined;
    }

    public waitOf(instance: FleetInstance): number {
        return this.client.waitOf(startOf(instance));
    }

    /** Asks for a permit; `onEnd` is called with true when the request may be sent, and with false if it must not be. */
    public request(
        instance: FleetInstance,
        patienceMilliseconds: number,
        onEnd: (isGranted: boolean) => void,
    ): void {
        const requestsPerSecond = this.limits.rateOf(instance);
        if (requestsPerSecond === undefined) {
            onEnd(true);
            return;
        }
        this.client.request({ replica: startOf(instance), requestsPerSecond, patienceMilliseconds }, onEnd);
    }

    /** Records what a response of an instance states of its limit. */
    public recordResponse(instance: FleetInstance, statement: LimitStatement): void {
        if (this.limits.record(instance, statement, this.now())) {
            this.options.log.info("instance changed the rate of requests that it takes", {
                instance: instance.id,
                requestsPerSecond: statement.requestsPerSecond ?? "unlimited",
            });
        }
    }

    /** Applies the state that another entry instance announced. */
    public recordPeer(from: string, isIssuing: boolean, limits: readonly LimitAnnouncement[]): void {
        this.members.record(from, isIssuing, this.now());
        this.limits.apply(limits, this.now());
    }

    /** Handles a question of another entry instance, or its reply to one of this process. */
    public handleMessage(from: string, message: PermitMessage): void {
        if (message.kind === "reply") {
            this.client.handleReply(message.id, message.reply);
            return;
        }
        const key = `${from} ${message.id}`;
        const reply = this.replies.get(key) ?? this.issue(message.question);
        this.replies.set(key, reply);
        const [oldest] = this.replies.keys();
        if (this.replies.size > maximumKeptReplies && oldest !== undefined) {
            this.replies.delete(oldest);
        }
        this.options.send(from, { kind: "reply", id: message.id, reply });
    }

    public tick(): void {
        this.members.setAvailable(this.options.isAvailable(), this.now());
        this.issuer.removeIdle(this.now());
    }

    public retainReplicas(instances: ReadonlyMap<string, FleetInstance>): void {
        this.limits.retainReplicas(new Set(instances.keys()));
        this.client.retainReplicas(new Set([...instances.values()].map(startOf)));
    }

    private issue(question: PermitQuestion): PermitReply {
        const now = this.now();
        const role = this.members.roleFor(question.replica, now);
        const reply: PermitReply =
            role === undefined ? { kind: "unavailable" } : this.issuer.issue(question, role, now);
        this.options.onReply(reply);
        return reply;
    }

    private now(): number {
        return this.options.clock.monotonicMilliseconds();
    }
}

/** Identifies the present start of an instance. */
function startOf({ id, status }: FleetInstance): string {
    return `${id} ${status.incarnation ?? ""}`;
}
