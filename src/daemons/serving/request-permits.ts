/** Connects permits for requests to replicas that limit their rate to the datagrams between entry instances. */
import type { Clock } from "../../contracts/clocks.js";
import type { PartLogger } from "../../links/logs.js";
import type { RequestLimits } from "../../serving/dispatcher.js";
import type { FleetInstance } from "../../serving/fleets.js";
import { ColdReplicas } from "../../serving/availability/cold-replicas.js";
import type { ColdAnnouncement, ColdStart } from "../../serving/availability/cold-replicas.js";
import type { ColdBounds } from "../../serving/availability/cold-rate.js";
import { coldPermitRate } from "../../serving/availability/cold-rate.js";
import type { PermitMessage } from "../../serving/peer-link.js";
import type { OnPermit } from "../../serving/permit-client.js";
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
/** Questions that a process may ask in each millisecond of its life before a later start could use their ids again. */
const idsPerMillisecond = 1_000;

export interface RequestPermitsOptions {
    /** Name of this entry instance. */
    readonly name: string;
    readonly clock: Clock;
    /** Time after which the state of a silent entry instance expires, in milliseconds. */
    readonly peerExpiryMilliseconds: () => number;
    /** True while this process knows the other entry instances and does not shut down. */
    readonly isAvailable: () => boolean;
    /** Number of entry instances that share the replicas. */
    readonly registeredCount: () => number;
    /** Returns how a service's replicas start; undefined if they start warm. */
    readonly coldStartOf: (service: string) => ColdStart | undefined;
    readonly coldBounds: ColdBounds;
    /** Called when this process is the first to know that replicas are cold. */
    readonly onCold: () => void;
    readonly send: (peer: string, message: PermitMessage) => void;
    /** Called with each reply of this process. */
    readonly onReply: (reply: PermitReply) => void;
    readonly log: PartLogger;
}

export class RequestPermits implements RequestLimits {
    private readonly limits = RateLimits.create();
    private readonly cold: ColdReplicas;
    private readonly issuer = PermitIssuer.create();
    private readonly members: PermitMembers;
    private readonly client: PermitClient;
    /** Recent replies by asker and question. */
    private readonly replies = new Map<string, PermitReply>();

    private constructor(private readonly options: RequestPermitsOptions) {
        const { name, peerExpiryMilliseconds, send, registeredCount, coldStartOf, clock } = options;
        this.cold = ColdReplicas.create(coldStartOf);
        this.members = PermitMembers.create({
            name,
            expiryMilliseconds: () => Math.max(minimumExpiryMilliseconds, peerExpiryMilliseconds()),
            registeredCount,
        });
        this.client = PermitClient.create({
            name,
            // Issuers repeat their reply to a question that they have seen.
            firstId: Math.floor(clock.wallMilliseconds()) * idsPerMillisecond,
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

    /** Replicas that this process found to be cold, for the other entry instances; undefined without any. */
    public get coldAnnouncement(): readonly ColdAnnouncement[] | undefined {
        const announced = this.cold.announcement(this.now());
        return announced.length > 0 ? announced : undefined;
    }

    /** Number of replicas that are cold. */
    public get coldCount(): number {
        return this.cold.count(this.now());
    }

    public isLimited(instance: FleetInstance): boolean {
        return this.limits.rateOf(instance) !== undefined || this.isCold(instance);
    }

    public isCold(instance: FleetInstance): boolean {
        return this.cold.rateOf(instance, this.now()) !== undefined;
    }

    public waitOf(instance: FleetInstance): number {
        return this.client.waitOf(this.isCold(instance) ? instance.id : startOf(instance));
    }

    /** Asks for a permit. */
    public request(instance: FleetInstance, patienceMilliseconds: number, onEnd: OnPermit): void {
        const limit = this.limits.rateOf(instance);
        const sustained = this.cold.rateOf(instance, this.now());
        if (sustained !== undefined) {
            const coldRate = coldPermitRate(sustained, this.options.coldBounds);
            const requestsPerSecond = Math.min(coldRate, limit ?? coldRate);
            // Entry instances may know different starts of the replica, whose permits must add up.
            const question = {
                replica: instance.id,
                requestsPerSecond,
                patienceMilliseconds,
                isStrict: true,
            };
            this.client.request(question, onEnd);
        } else if (limit !== undefined) {
            const question = { replica: startOf(instance), requestsPerSecond: limit, patienceMilliseconds };
            this.client.request(question, onEnd);
        } else {
            onEnd(true, Number.POSITIVE_INFINITY);
        }
    }

    /** True if a request may be written now: a replica that has become cold needs a permit, and permits expire. */
    public mayWrite(instance: FleetInstance, expiresAt: number | undefined): boolean {
        return !this.isCold(instance) || (expiresAt !== undefined && this.now() <= expiresAt);
    }

    /** Records that a connection to an instance failed or broke, as when the instance starts again. */
    public recordBrokenConnection(instance: FleetInstance): void {
        this.cold.recordBrokenConnection(instance, this.now());
    }

    /** Records what a response of an instance states of the time for which it stays cold. */
    public recordCold(instance: FleetInstance, coldMilliseconds: number, sentAt: number): void {
        const wasCold = this.isCold(instance);
        this.cold.recordStatement(instance, coldMilliseconds, sentAt, this.now());
        if (!wasCold && this.isCold(instance)) {
            this.reportCold([instance.id], "its response");
        }
    }

    /** Applies the present registrations. */
    public applyRegistrations(instances: ReadonlyMap<string, FleetInstance>): void {
        const found = this.cold.applyRegistrations(instances.values(), this.now());
        if (found.length > 0) {
            this.reportCold(found, "the registration");
        }
    }

    /** Applies which replicas another entry instance found to be cold. */
    public recordPeerCold(announcements: readonly ColdAnnouncement[]): void {
        this.cold.applyAnnouncements(announcements, this.now());
    }

    /** Records what a response of an instance states of its limit. */
    public recordResponse(instance: FleetInstance, statement: LimitStatement): void {
        if (statement.coldMilliseconds !== undefined) {
            this.recordCold(instance, statement.coldMilliseconds, statement.sentAt);
        }
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
        this.client.retainReplicas(new Set([...instances.keys(), ...[...instances.values()].map(startOf)]));
    }

    /** Forgets replicas that are gone for good. */
    public retainColdReplicas(replicas: { readonly has: (replica: string) => boolean }): void {
        this.cold.retainReplicas(replicas);
    }

    private reportCold(instances: readonly string[], source: string): void {
        this.options.log.info("replicas are cold and get requests at a limited rate", { instances, source });
        this.options.onCold();
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
