/** Inputs of an exchange: the dependencies that all exchanges share, and the admitted request. */
import type { Clock } from "../contracts/clocks.js";
import type { PartLogger } from "../links/logs.js";
import type {
    UpstreamCall,
    UpstreamObserver,
    UpstreamPools,
    UpstreamRequest,
} from "../links/upstream-pools.js";
import type { Route, RouteTable } from "./serving-configuration.js";
import type { CrashAttribution } from "./crash-attribution.js";
import type { DispatchChoice, Dispatcher } from "./dispatcher.js";
import type { InFlightRequests } from "./in-flight-requests.js";
import type { BackPressure } from "./back-pressure.js";
import type { FairSharing } from "./fairness/fair-sharing.js";
import type { FleetInstance } from "./fleets.js";
import type { ArrivedWork } from "./placement/arrived-work.js";
import type { OutputPredictor } from "./routing/output-predictor.js";
import type { SharedReadPace } from "./read-pace.js";
import type { OnPermit } from "./permit-client.js";
import type { ReplicaRecords } from "./replica-records.js";
import type { ForwardingPeer } from "./forwarding-peers.js";
import type { LinkFailure } from "./replica-reach.js";
import type { LimitStatement } from "./rate-limits.js";
import type { RequestIdentity } from "./request-identity.js";
import type { RetryWindow } from "./retry-window.js";
import type { ServingMetrics } from "./serving-metrics.js";
import type { CallerRequest, WireFormat } from "./wire-format.js";

/** Permits for requests to replicas that limit their rate. */
export interface RequestPermitSource {
    /** Asks for a permit. */
    readonly request: (instance: FleetInstance, patienceMilliseconds: number, onEnd: OnPermit) => void;
    /**
     * True if a request may be written to an instance now. `expiresAt`: local monotonic milliseconds at which its permit
     * expires; undefined if it has none, because the instance needed none when it was chosen.
     */
    readonly mayWrite: (instance: FleetInstance, expiresAt: number | undefined) => boolean;
    /** Records that a connection to an instance failed or broke. */
    readonly recordBrokenConnection: (instance: FleetInstance) => void;
    /** Records what a response of an instance states, also if it states no limit. */
    readonly recordResponse: (instance: FleetInstance, statement: LimitStatement) => void;
}

/** Entry instances that run requests instead of this one, and what is known of this one's links to the replicas. */
export interface RequestForwarding {
    /**
     * Returns the entry instance that is to run a request whose replicas this one cannot reach; undefined if it can, or if
     * no other one can. `choice`: the choice of this entry instance itself; undefined if it has not chosen yet.
     */
    readonly choosePeer: (
        service: string,
        triedPeers: ReadonlySet<string>,
        choice: DispatchChoice | undefined,
    ) => ForwardingPeer | undefined;
    /** Sends an encoded request to an entry instance. */
    readonly send: (
        peer: ForwardingPeer,
        request: Pick<UpstreamRequest, "body" | "isRetryable" | "usedConnections">,
        observer: UpstreamObserver,
    ) => UpstreamCall;
    /** Records that a request to an entry instance has ended in any way. */
    readonly release: (peer: ForwardingPeer) => void;
    /** Records that an entry instance did not serve a request that it stated to be able to serve. */
    readonly recordPeerFailure: (peer: ForwardingPeer) => void;
    /** Records that bytes arrived from a replica. */
    readonly recordHeard: (instance: FleetInstance) => void;
    readonly recordFailure: (instance: FleetInstance, failure: LinkFailure) => void;
    /** True while connections to the replicas of a service fail in a way that puts the links in doubt. */
    readonly isInDoubt: (service: string) => boolean;
    /** True while nothing arrives from the replicas of a service, though other entry instances receive responses. */
    readonly isCutOff: (service: string) => boolean;
    /** Name of this entry instance. */
    readonly name: string;
}

/** Where a request comes from that another entry instance forwarded. */
export interface ForwardingOrigin {
    /** Name of the entry instance. */
    readonly from: string;
    /** Ids of the instances that it tried. */
    readonly triedInstances: readonly string[];
    /** True if the caller is already reading the response. */
    readonly hasBegunResponse: boolean;
}

/** Dependencies that all exchanges of a process share. */
export interface ExchangeContext {
    readonly clock: Clock;
    readonly random: () => number;
    readonly wire: WireFormat;
    readonly upstreams: UpstreamPools;
    readonly dispatcher: Dispatcher;
    readonly inFlightRequests: InFlightRequests;
    readonly arrivedWork: ArrivedWork;
    readonly outputPredictor: OutputPredictor;
    readonly replicaRecords: ReplicaRecords;
    readonly backPressure: BackPressure;
    readonly permits: RequestPermitSource;
    readonly forwarding: RequestForwarding;
    /** True if a replica group is suspected to be stalled or is no longer in use. */
    readonly isDoubtful: (group: string) => boolean;
    readonly crashAttribution: CrashAttribution;
    /** True if an instance has stated that it leaves. */
    readonly isLeaving: (instance: FleetInstance) => boolean;
    /** True if nothing more may be sent to an instance because its failure domain is evacuated. */
    readonly isEvacuated: (instance: FleetInstance) => boolean;
    /** Called when an instance states that it leaves. */
    readonly onLeaving: (instance: FleetInstance) => void;
    /** Shared by all messages that this process reads. */
    readonly readPace: SharedReadPace;
    /** Decides who goes first while capacity is short. */
    readonly sharing: Pick<FairSharing, "recordArrival" | "recordStart" | "recordRefusal">;
    readonly retryWindowOf: (service: string) => RetryWindow;
    readonly log: PartLogger;
    readonly metrics: ServingMetrics;
    /** True while this process shuts down and its connections must not be reused. */
    readonly isStopping: () => boolean;
}

/** A request that passed the checks of the callers' port, with the route that it takes. */
export interface AdmittedRequest {
    readonly request: CallerRequest;
    readonly table: RouteTable;
    readonly route: Route;
    readonly service: string;
    readonly workspace: string | undefined;
    readonly rank: number;
    readonly body: Buffer | undefined;
    readonly identity: RequestIdentity;
    /** Local monotonic milliseconds. */
    readonly arrivedAt: number;
    /** Local monotonic milliseconds. */
    readonly deadline: number;
    /** Present if another entry instance forwarded the request; it is forwarded no further. */
    readonly forwarded?: ForwardingOrigin;
    /** Records how many bytes of replicas' responses the request holds that have not been relayed. */
    readonly recordBuffered?: (bytes: number) => void;
}
