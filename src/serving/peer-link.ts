/**
 * Datagrams between entry instances: the in-flight load of each at the replica groups, the groups that it suspects and
 * those that it opened recently. Lost or late datagrams do no harm, since each holds the whole present state. Peers find
 * each other in the store.
 */
import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import * as z from "zod";
import { DatagramLimit } from "../links/datagram-limit.js";
import { parseJson } from "../links/json.js";
import type { PartLogger } from "../links/logs.js";
import type { ColdAnnouncement } from "./availability/cold-replicas.js";
import type { EvacuationStatement } from "./availability/evacuations.js";
import type { Clock } from "../contracts/clocks.js";
import type { StorePosition } from "../contracts/key-value-stores.js";
import { systemClock } from "../links/system-clock.js";
import type { CrashEvidence } from "./crash-attribution.js";
import type { EngineLoad } from "./engine-model.js";
import type { SharingAnnouncement } from "./fairness/sharing-datagram.js";
import { decodeSharing, encodeSharing, sharingSchema } from "./fairness/sharing-datagram.js";
import type { GroupAnnouncement } from "./group-announcements.js";
import type { GroupLoad } from "./in-flight-requests.js";
import type { WorkAnnouncement } from "./placement/arrived-work.js";
import type { RunningConversion } from "./placement/conversion-plan.js";
import type { LimitAnnouncement } from "./rate-limits.js";
import type { LeavingInstance } from "./leaving-instances.js";
import type { Suspicion } from "./stalled-group-detector.js";
import type { ReceivedMark, RelayedChanges } from "./store-relay/change-relay.js";
import { firstRevision, omitKnownChanges } from "./store-relay/change-relay.js";
import {
    decodeChanges,
    encodeChanges,
    markDatagramSchema,
    relayDatagramSchema,
} from "./store-relay/relay-datagram.js";
import { SentMarks } from "./store-relay/sent-marks.js";
import { DatagramPacer } from "./datagram-pacer.js";

/** Senders whose last sequence is known; the one heard of first is forgotten for a further one. */
const maximumSenders = 4_096;

/** Rate of a link that the settings do not state, in Mbit per second. */
const defaultLinkMegabits = 100;
/** Peers by which the order of the next datagrams is rotated. */
const peerRotation = 7;
/** Part of the link that paced datagrams may take; the rest is for callers. */
const linkFraction = 0.5;
/** Bytes that are sent at once; the queue of a link holds more. */
const maximumBurstBytes = 32 * 1024;
const bitsPerMegabit = 1_000_000;
const bitsPerByte = 8;

/** Stated instead of a rate when the limit of a replica has ended. */
const noLimit = -1;

/** Requests and unread prompt tokens. */
const loadSchema = z.tuple([z.number(), z.number()]);
/** As above, then the requests whose output is expected and the output tokens that are yet to be generated for them. */
const predictedLoadSchema = z.tuple([z.number(), z.number(), z.number(), z.number()]);

const messageSchema = z.object({
    from: z.string(),
    /** Distinguishes the starts of one process. */
    incarnation: z.string(),
    sequence: z.number(),
    /** Group, load without deferred requests, total load. */
    loads: z.array(z.tuple([z.string(), loadSchema, loadSchema])),
    /** Group, expected outputs without those of deferred requests, all; earlier versions take no longer loads. */
    outputs: z.array(z.tuple([z.string(), loadSchema, loadSchema])).default([]),
    suspicions: z.array(z.tuple([z.string(), z.array(z.string())])),
    /** Name, epoch, model and members of recently opened groups. */
    groups: z.array(z.tuple([z.string(), z.number(), z.string(), z.array(z.string())])).default([]),
    /** Version of the configuration in force; 0 if none. */
    configuration: z.number().default(0),
    /** Id and start of the instances that leave. */
    leaving: z.array(z.tuple([z.string(), z.number().nullable()])).default([]),
    /** Request, start of the replica, further traits, whether the response had a head, and age in milliseconds. */
    crashes: z
        .array(z.tuple([z.string(), z.string(), z.array(z.string()), z.boolean(), z.number()]))
        .default([]),
    /** Traits with a complete response, and its age in milliseconds. */
    sound: z.array(z.tuple([z.string(), z.number()])).default([]),
    /** Quarantined traits, and milliseconds since the last request with them or since the start of the quarantine. */
    quarantines: z.array(z.tuple([z.array(z.string()), z.number()])).default([]),
    /** True if the sender issues permits for requests to replicas that limit their rate. */
    issues: z.boolean().default(false),
    /** Id and start of replicas, the requests per second that they take (-1: no limit any more), and age in milliseconds. */
    limits: z.array(z.tuple([z.string(), z.number().nullable(), z.number(), z.number()])).default([]),
    /** Services, and the number of their replicas from which responses arrived recently. */
    reached: z.array(z.tuple([z.string(), z.number()])).default([]),
    /** Services whose replicas the sender cannot reach. */
    unreachable: z.array(z.string()).default([]),
    /** True if the sender accepts changes of the store from the entry instances of its failure domain. */
    relayed: z.boolean().default(false),
    /** False if the store did not answer the sender's latest call. */
    served: z.boolean().default(true),
    /** Ids of the replicas that the sender found to be cold, and the remaining milliseconds; absent without any. */
    cold: z.array(z.tuple([z.string(), z.number().nonnegative()])).optional(),
    /** Era and revision of the store at which these failure domains are evacuated; absent if the sender knows of none. */
    evacuated: z.tuple([z.int().nonnegative(), z.int().nonnegative(), z.array(z.string())]).optional(),
    /** Model, and milliseconds of a full group that arrived and that were refused since the sender started. */
    work: z.array(z.tuple([z.string(), z.number(), z.number()])).default([]),
    /** Shortened identities of a sample of the requests that the sender refused recently. */
    refusedSamples: z.array(z.string()).default([]),
    /** True if the sender reads the news of loads. */
    readsNews: z.boolean().default(false),
    /** Absent while the sender has room for all requests. */
    sharing: sharingSchema.optional(),
    /** Failure domain, previous and new model, and number of new groups of the conversions that the sender carries out. */
    conversions: z.array(z.tuple([z.string(), z.string(), z.string(), z.number()])).default([]),
});

const newsSchema = z.object({
    from: z.string(),
    incarnation: z.string(),
    sequence: z.number(),
    /** As the loads above, for the groups whose loads have changed. */
    news: z.array(z.tuple([z.string(), predictedLoadSchema, predictedLoadSchema])),
    /** Ids of plain replicas, and the number of requests of the sender there. */
    plain: z.array(z.tuple([z.string(), z.number()])).default([]),
});

const permitQuestionSchema = z.object({
    kind: z.literal("question"),
    id: z.number(),
    question: z.object({
        replica: z.string(),
        requestsPerSecond: z.number().positive(),
        patienceMilliseconds: z.number(),
        isStrict: z.boolean().optional(),
    }),
});
const permitReplySchema = z.object({
    kind: z.literal("reply"),
    id: z.number(),
    reply: z.discriminatedUnion("kind", [
        z.object({
            kind: z.literal("granted"),
            delayMilliseconds: z.number(),
            nextMilliseconds: z.number(),
        }),
        z.object({ kind: z.literal("denied"), nextMilliseconds: z.number() }),
        z.object({ kind: z.literal("unavailable") }),
    ]),
});
const permitDatagramSchema = z.object({
    from: z.string(),
    permit: z.discriminatedUnion("kind", [permitQuestionSchema, permitReplySchema]),
});

/** Question for a permit to send a request to a replica that limits their rate, or the reply to one. */
export type PermitMessage = z.infer<typeof permitDatagramSchema>["permit"];

/** State that one entry instance sends to the others. */
export interface PeerMessage {
    readonly from: string;
    readonly incarnation: string;
    readonly sequence: number;
    readonly loads: readonly GroupLoad[];
    readonly suspicions: readonly Suspicion[];
    readonly groups: readonly GroupAnnouncement[];
    readonly leaving: readonly LeavingInstance[];
    readonly crashEvidence: CrashEvidence;
    /** Version of the configuration in force; 0 if none. */
    readonly configurationVersion: number;
    /** True if the sender issues permits. */
    readonly isIssuing: boolean;
    readonly limits: readonly LimitAnnouncement[];
    /** Number of replicas of each service from which responses arrived recently. */
    readonly reachedCounts: ReadonlyMap<string, number>;
    /** Services whose replicas the sender cannot reach. */
    readonly unreachableServices: readonly string[];
    /** True if the sender accepts relayed changes of the store. */
    readonly acceptsChanges: boolean;
    /** False if the store did not answer the sender's latest call. */
    readonly isServed: boolean;
    /** Replicas that the sender found to be cold; undefined without any. */
    readonly coldReplicas?: readonly ColdAnnouncement[] | undefined;
    /** Undefined if the sender knows of no evacuation. */
    readonly evacuations?: EvacuationStatement | undefined;
    /** Work that arrived at the sender. */
    readonly work: WorkAnnouncement;
    /** True if the sender reads the news of loads. */
    readonly readsNews: boolean;
    readonly sharing: SharingAnnouncement;
    /** Conversions of replica groups that the sender carries out. */
    readonly conversions: readonly RunningConversion[];
}

/** Loads of the sender that have changed since its last message. */
export interface LoadNewsMessage {
    readonly loads: readonly GroupLoad[];
    /** Ids of plain replicas, and the number of requests there. */
    readonly plain: readonly (readonly [string, number])[];
}

/** Changes of the store that an entry instance passes on. */
export interface ChangesMessage {
    readonly changes: RelayedChanges;
    /**
     * Local monotonic milliseconds at which this process sent its latest datagram that had reached the sender before it called
     * the store; undefined if that is not known.
     */
    readonly knownAt: number | undefined;
    /** True if the sender reads marks. */
    readonly readsMarks: boolean;
}

/** Receiver of changes of the store. */
export interface ChangesReceiver {
    /** Host and port. */
    readonly address: string;
    /** Its latest datagram that had arrived before the call to the store. */
    readonly mark: ReceivedMark | undefined;
}

export interface PeerLinkOptions {
    readonly clock: Clock;
    readonly address: string;
    readonly name: string;
    readonly incarnation: string;
    /** Rate of the machine's link in Mbit per second; undefined if it is not known. */
    readonly linkMegabits?: number | undefined;
    readonly onMessage: (message: PeerMessage) => void;
    readonly onNews: (from: string, news: LoadNewsMessage) => void;
    readonly onPermitMessage: (from: string, message: PermitMessage) => void;
    /** Called with a datagram that only states that its sender is there. */
    readonly onMark: (from: string, mark: ReceivedMark) => void;
    /** Called with changes of the store that an entry instance passes on. */
    readonly onChanges: (from: string, message: ChangesMessage) => void;
    readonly log: PartLogger;
}

export class PeerLink {
    private readonly socket: Socket;
    private near: readonly string[] = [];
    private far: readonly string[] = [];
    private sequence = 0;
    private readonly sentMarks = SentMarks.create();
    private readonly pacer: DatagramPacer;
    private paceTimer: NodeJS.Timeout | undefined;
    private readonly lastSequences = new Map<string, number>();
    private readonly limit = DatagramLimit.create(systemClock.monotonicMilliseconds());

    private constructor(private readonly options: PeerLinkOptions) {
        const { linkMegabits = defaultLinkMegabits, clock } = options;
        const bytesPerMillisecond = (linkFraction * linkMegabits * bitsPerMegabit) / bitsPerByte / 1_000;
        const pace = { bytesPerMillisecond, burstBytes: maximumBurstBytes };
        this.pacer = DatagramPacer.create(pace, clock.monotonicMilliseconds());
        this.socket = createSocket("udp4");
        this.socket.on("message", bytes => this.receive(bytes));
        this.socket.on("error", error =>
            options.log.warn("UDP socket for peer datagrams failed", { reason: error.message }),
        );
        const [host, port] = options.address.split(":");
        this.socket.bind(Number(port), host);
    }

    public static create(options: PeerLinkOptions): PeerLink {
        return new PeerLink(options);
    }

    /** Sets the addresses (host and port) of the other entry instances, in the own failure domain and elsewhere. */
    public setPeers(near: readonly string[], far: readonly string[]): void {
        this.near = near.filter(address => address !== this.options.address);
        this.far = far;
    }

    public send(
        state: Omit<PeerMessage, "from" | "incarnation" | "sequence" | "readsNews">,
        alsoFar: boolean,
    ): void {
        this.sequence += 1;
        this.sentMarks.record(this.sequence, this.options.clock.monotonicMilliseconds());
        const text = JSON.stringify({
            from: this.options.name,
            incarnation: this.options.incarnation,
            sequence: this.sequence,
            loads: state.loads.map(({ group, urgent, all }) => [group, encodeLoad(urgent), encodeLoad(all)]),
            outputs: state.loads
                .filter(({ all }) => (all.predictedRequests ?? 0) > 0)
                .map(({ group, urgent, all }) => [group, encodeOutput(urgent), encodeOutput(all)]),
            suspicions: state.suspicions.map(suspicion => [suspicion.group, suspicion.instances]),
            groups: state.groups.map(({ group, epoch, model, members }) => [group, epoch, model, members]),
            configuration: state.configurationVersion,
            leaving: state.leaving.map(({ id, incarnation }) => [id, incarnation ?? null]),
            crashes: state.crashEvidence.reports.map(({ request, start, traits, hasHead, age }) => [
                request,
                start,
                traits,
                hasHead,
                age,
            ]),
            sound: state.crashEvidence.sound,
            quarantines: state.crashEvidence.quarantines,
            issues: state.isIssuing,
            reached: [...state.reachedCounts],
            unreachable: state.unreachableServices,
            relayed: state.acceptsChanges,
            served: state.isServed,
            cold: state.coldReplicas?.map(({ id, remainingMilliseconds }) => [id, remainingMilliseconds]),
            evacuated: state.evacuations && encodeEvacuations(state.evacuations),
            work: state.work.counters.map(({ model, arrivedMilliseconds, refusedMilliseconds }) => [
                model,
                Math.round(arrivedMilliseconds),
                Math.round(refusedMilliseconds),
            ]),
            refusedSamples: state.work.refusedSamples,
            sharing: encodeSharing(state.sharing),
            conversions: state.conversions.map(({ failureDomain, from, to, newGroups }) => [
                failureDomain,
                from,
                to,
                newGroups,
            ]),
            limits: state.limits.map(({ id, incarnation, requestsPerSecond, age }) => [
                id,
                incarnation ?? null,
                requestsPerSecond ?? noLimit,
                age,
            ]),
            readsNews: true,
        });
        // States leave at once, since later news makes a waiting one obsolete; each time, other peers are the last ones.
        const peers = alsoFar ? [...this.near, ...this.far] : this.near;
        const start = peers.length === 0 ? 0 : (this.sequence * peerRotation) % peers.length;
        [...peers.slice(start), ...peers.slice(0, start)].forEach(peer => this.sendText(peer, text));
    }

    /** Sends changed loads to an entry instance that reads news, at its address (host and port). */
    public sendNews(address: string, { loads, plain }: LoadNewsMessage): void {
        this.sequence += 1;
        const { name: from, incarnation } = this.options;
        const text = JSON.stringify({
            from,
            incarnation,
            sequence: this.sequence,
            news: loads.map(({ group, urgent, all }) => [
                group,
                [...encodeLoad(urgent), ...encodeOutput(urgent)],
                [...encodeLoad(all), ...encodeOutput(all)],
            ]),
            plain,
        });
        this.sendText(address, text);
    }

    /** Sends a question for a permit, or a reply, to the entry instance at an address (host and port). */
    public sendPermitMessage(address: string, permit: PermitMessage): void {
        this.sendText(address, JSON.stringify({ from: this.options.name, permit }));
    }

    /** Passes changes of the store on to other entry instances. */
    public sendChanges(receivers: readonly ChangesReceiver[], changes: RelayedChanges): void {
        const from = JSON.stringify(this.options.name);
        const encodedByStart = new Map<number, string>();
        for (const { address, mark } of receivers) {
            const lacking = omitKnownChanges(changes, mark?.position);
            const start = firstRevision(lacking);
            const encoded = encodedByStart.get(start) ?? JSON.stringify(encodeChanges(lacking));
            encodedByStart.set(start, encoded);
            const heard = JSON.stringify(mark === undefined ? null : [mark.incarnation, mark.sequence]);
            const text = `{"from":${from},"heard":${heard},"changes":${encoded}}`;
            this.pacer.add({ address, text });
        }
        this.sendPaced();
    }

    /** Sends a datagram to a relay for it to name in its next message. */
    public sendMark(address: string, position: StorePosition | undefined): void {
        this.sequence += 1;
        const { clock, name: from, incarnation } = this.options;
        this.sentMarks.record(this.sequence, clock.monotonicMilliseconds());
        const known = position === undefined ? null : [position.era ?? null, position.revision];
        const mark = { from, incarnation, sequence: this.sequence, mark: true, position: known };
        this.sendText(address, JSON.stringify(mark));
    }

    /** Sends the waiting datagrams for which the link has room, and the others later. */
    private sendPaced(): void {
        clearTimeout(this.paceTimer);
        const now = this.options.clock.monotonicMilliseconds();
        this.pacer.take(now).forEach(({ address, text }) => this.sendNow(address, text));
        const remaining = this.pacer.nextAt(now) - now;
        if (remaining !== Number.POSITIVE_INFINITY) {
            this.paceTimer = setTimeout(() => this.sendPaced(), remaining);
            this.paceTimer.unref();
        }
    }

    private sendText(peer: string, text: string): void {
        this.pacer.recordSent(Buffer.byteLength(text), this.options.clock.monotonicMilliseconds());
        this.sendNow(peer, text);
    }

    private sendNow(peer: string, text: string): void {
        const [host, port] = peer.split(":");
        this.socket.send(text, Number(port), host, error => {
            if (error) {
                this.options.log.debug("could not send a datagram to a peer", {
                    peer,
                    reason: error.message,
                });
            }
        });
    }

    public close(): void {
        clearTimeout(this.paceTimer);
        this.socket.close();
    }

    private receive(bytes: Buffer): void {
        if (!this.limit.tryRead(bytes.length, systemClock.monotonicMilliseconds())) {
            return;
        }
        const json = parseJson(bytes.toString("utf8"));
        if (typeof json === "object" && json !== null && "permit" in json) {
            this.receivePermitMessage(json);
            return;
        }
        if (typeof json === "object" && json !== null && "changes" in json) {
            this.receiveChanges(json);
            return;
        }
        if (typeof json === "object" && json !== null && "news" in json) {
            this.receiveNews(json);
            return;
        }
        if (typeof json === "object" && json !== null && "mark" in json) {
            this.receiveMark(json);
            return;
        }
        const parsed = messageSchema.safeParse(json);
        if (!parsed.success) {
            this.logUnreadable("dropped an unreadable datagram from a peer", parsed.error);
            return;
        }
        const { from, incarnation, loads, suspicions, groups, leaving, configuration } = parsed.data;
        const { crashes, sound, quarantines, issues, limits, reached, unreachable } = parsed.data;
        const { relayed, served, evacuated, cold, work, refusedSamples, conversions } = parsed.data;
        if (!this.isNewest(parsed.data)) {
            return;
        }
        const outputsByGroup = new Map(parsed.data.outputs.map(output => [output[0], output]));
        this.options.onMessage({
            from,
            incarnation,
            sequence: parsed.data.sequence,
            loads: loads.map(([group, urgent, all]) => {
                const [, urgentOutput, allOutput] = outputsByGroup.get(group) ?? [group, noOutput, noOutput];
                return {
                    group,
                    urgent: decodeLoad([...urgent, ...urgentOutput]),
                    all: decodeLoad([...all, ...allOutput]),
                };
            }),
            suspicions: suspicions.map(([group, instances]) => ({ group, instances })),
            groups: groups.map(([group, epoch, model, members]) => ({ group, epoch, model, members })),
            configurationVersion: configuration,
            leaving: leaving.map(([id, start]) => ({ id, incarnation: start ?? undefined })),
            crashEvidence: {
                reports: crashes.map(([request, start, traits, hasHead, age]) => ({
                    request,
                    start,
                    traits,
                    hasHead,
                    age,
                })),
                sound,
                quarantines,
            },
            isIssuing: issues,
            reachedCounts: new Map(reached),
            unreachableServices: unreachable,
            acceptsChanges: relayed,
            isServed: served,
            coldReplicas: cold?.map(([id, remainingMilliseconds]) => ({ id, remainingMilliseconds })),
            evacuations: evacuated && decodeEvacuations(evacuated),
            work: {
                counters: work.map(([model, arrivedMilliseconds, refusedMilliseconds]) => ({
                    model,
                    arrivedMilliseconds,
                    refusedMilliseconds,
                })),
                refusedSamples,
            },
            readsNews: parsed.data.readsNews,
            sharing: decodeSharing(parsed.data.sharing),
            conversions: conversions.map(([failureDomain, previous, to, newGroups]) => ({
                failureDomain,
                from: previous,
                to,
                newGroups,
            })),
            limits: limits.map(([id, start, requestsPerSecond, age]) => ({
                id,
                incarnation: start ?? undefined,
                requestsPerSecond: requestsPerSecond === noLimit ? undefined : requestsPerSecond,
                age,
            })),
        });
    }

    private receiveChanges(json: object): void {
        const parsed = relayDatagramSchema.safeParse(json);
        if (parsed.success) {
            const { from, changes, heard } = parsed.data;
            this.options.onChanges(from, {
                changes: decodeChanges(changes),
                knownAt: this.timeOfMark(heard ?? undefined),
                readsMarks: heard !== undefined,
            });
        } else {
            this.options.log.warn("dropped unreadable changes of the store from a peer", {
                reason: parsed.error.issues[0]?.message,
            });
        }
    }

    private timeOfMark(heard: readonly [string, number] | undefined): number | undefined {
        const isOfThisStart = heard !== undefined && heard[0] === this.options.incarnation;
        return isOfThisStart ? this.sentMarks.timeOf(heard[1]) : undefined;
    }

    private receiveMark(json: object): void {
        const parsed = markDatagramSchema.safeParse(json);
        if (!parsed.success) {
            this.logUnreadable("dropped an unreadable datagram of a receiver of changes", parsed.error);
        } else if (this.isNewest(parsed.data)) {
            const { from, incarnation, sequence, position } = parsed.data;
            const known =
                position === null ? undefined : { era: position[0] ?? undefined, revision: position[1] };
            this.options.onMark(from, { incarnation, sequence, position: known });
        }
    }

    private receiveNews(json: object): void {
        const parsed = newsSchema.safeParse(json);
        if (!parsed.success) {
            this.options.log.warn("dropped unreadable news of loads from a peer", {
                reason: parsed.error.issues[0]?.message,
            });
        } else if (this.isNewest(parsed.data)) {
            const { from, news, plain } = parsed.data;
            const loads = news.map(([group, urgent, all]) => ({
                group,
                urgent: decodeLoad(urgent),
                all: decodeLoad(all),
            }));
            this.options.onNews(from, { loads, plain });
        }
    }

    /** True if a datagram was sent after all those of its sender that have arrived. */
    private isNewest({
        from,
        incarnation,
        sequence,
    }: Pick<z.infer<typeof newsSchema>, "from" | "incarnation" | "sequence">): boolean {
        const sender = `${from} ${incarnation}`;
        const isNewest = sequence > (this.lastSequences.get(sender) ?? 0);
        if (isNewest) {
            this.lastSequences.set(sender, sequence);
            if (this.lastSequences.size > maximumSenders) {
                this.lastSequences.delete(this.lastSequences.keys().next().value!);
            }
        }
        return isNewest;
    }

    private receivePermitMessage(json: object): void {
        const parsed = permitDatagramSchema.safeParse(json);
        if (parsed.success) {
            this.options.onPermitMessage(parsed.data.from, parsed.data.permit);
        } else {
            this.logUnreadable("dropped an unreadable datagram on a permit from a peer", parsed.error);
        }
    }

    private logUnreadable(message: string, { issues }: z.ZodError): void {
        if (this.limit.tryLog(systemClock.monotonicMilliseconds())) {
            this.options.log.warn(message, { reason: issues[0]?.message });
        }
    }
}

type EncodedLoad = z.infer<typeof loadSchema>;

const noOutput: EncodedLoad = [0, 0];

function encodeLoad({ requests, unreadTokens }: EngineLoad): EncodedLoad {
    return [requests, unreadTokens];
}

function encodeOutput({ predictedRequests = 0, outputTokens = 0 }: EngineLoad): EncodedLoad {
    return [predictedRequests, Math.round(outputTokens)];
}

function decodeLoad([requests, unreadTokens, predictedRequests, outputTokens]: z.infer<
    typeof predictedLoadSchema
>): EngineLoad {
    return predictedRequests === 0
        ? { requests, unreadTokens }
        : { requests, unreadTokens, predictedRequests, outputTokens };
}

type WireEvacuations = NonNullable<z.infer<typeof messageSchema>["evacuated"]>;

function encodeEvacuations({ era, revision, failureDomains }: EvacuationStatement): WireEvacuations {
    return [era, revision, [...failureDomains]];
}

function decodeEvacuations([era, revision, failureDomains]: WireEvacuations): EvacuationStatement {
    return { era, revision, failureDomains };
}
