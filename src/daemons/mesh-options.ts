/** Options, status and interface of a mesh. */
import type { Observable } from "rxjs";
import type { Clock } from "../contracts/clocks.js";
import type { Engines } from "../contracts/engines.js";
import type { KeyValueStore } from "../contracts/key-value-stores.js";
import type { ConfigurationRejection } from "../core/configuration-updates.js";
import type { Configuration } from "../core/configuration-values.js";
import type { EndpointHealth } from "../core/endpoints.js";
import type { RecordEvent } from "../core/events.js";
import type { Instance, InstanceId } from "../core/instances.js";
import type { MemberRole } from "../core/mesh-messages.js";
import type { PlacementEntry, Usage } from "../core/mesh-values.js";
import type { Member } from "../core/membership.js";
import type { PeerBytes, GossipTransport, GossipTransportOptions } from "../links/gossip-transport.js";
import type { Settings } from "./settings.js";

/** Options of a mesh. */
export interface MeshOptions {
    readonly settings: Settings;
    readonly role: MemberRole;
    readonly store: KeyValueStore;
    readonly probe: Engines["probe"];
    /** Emits the platform's instance list at the start and at each change. */
    readonly instances: Observable<readonly Instance[]>;
    readonly clock: Clock;
    readonly random: () => number;
    readonly recordEvent: RecordEvent;
    /** Emits at each tick; by default at a fixed interval. Tests pass their own. */
    readonly ticks?: Observable<unknown>;
    /** Opens the link to peers; tests can replace it. */
    readonly startLink?: (options: GossipTransportOptions) => Promise<GossipTransport>;
}

/** Status of a mesh as served on the admin port. */
export interface MeshStatus {
    readonly member: string;
    readonly ready: boolean;
    readonly configuration: {
        readonly revisionInForce: number;
        readonly hash: string;
        /**
         * Time since all changes accepted by the store were last known to be in force in this process, in milliseconds.
         */
        readonly confirmedAgeMilliseconds: number | undefined;
        readonly rejections: readonly ConfigurationRejection[];
    };
    readonly watching: boolean;
    readonly members: readonly Member[];
    readonly endpoints: number;
    readonly probes: number;
    readonly peerBytes: PeerBytes;
}

/** A running mesh. */
export interface Mesh {
    readonly configuration: Observable<Configuration>;
    readonly currentConfiguration: () => Configuration;
    /** True once a configuration is in force and reachable peers have had the time to send a later one. */
    readonly isReady: () => boolean;
    readonly health: (instance: InstanceId) => EndpointHealth | undefined;
    /** Emits whenever the health of an endpoint or the set of leaving instances may have changed. */
    readonly healthChanges: Observable<void>;
    readonly instances: () => readonly Instance[];
    readonly isLeaving: (instance: InstanceId) => boolean;
    /** Probes an endpoint soon because a stream or a call indicated a problem. */
    readonly expediteProbe: (instance: InstanceId) => void;
    readonly members: () => readonly Member[];
    /** Publishes this process's usage counters; returns false if the payload is too long. */
    readonly publishUsage: (payload: string) => boolean;
    readonly usages: Observable<readonly Usage[]>;
    /** Publishes what this process knows of crashes; returns false if the payload is too long. */
    readonly publishCrashEvidence: (payload: string) => boolean;
    readonly crashEvidence: Observable<readonly Usage[]>;
    /** Emits the placement values of all known keys, on subscription and at each change. */
    readonly placements: Observable<readonly PlacementEntry[]>;
    /** Applies a placement value that this process has written itself, without waiting for the store's watch. */
    readonly observePlacement: (entry: PlacementEntry) => void;
    readonly peerBytes: () => PeerBytes;
    /** Announces to peers that this process is finishing its work; from then on it is assigned no duties. */
    readonly startLeaving: () => void;
    /** Announces to peers that this process has left, then closes the mesh's connections and subscriptions. */
    readonly leave: () => Promise<void>;
    readonly status: () => MeshStatus;
    /** Address of the port for peers. */
    readonly address: string;
}
