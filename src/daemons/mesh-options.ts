/** What a mesh needs, and what it offers to a daemon. */
import type { Observable } from "rxjs";
import type { Clock } from "../contracts/clocks.js";
import type { Engines } from "../contracts/engines.js";
import type { KeyValueStore } from "../contracts/key-value-stores.js";
import type { ConfigurationRejection } from "../core/configuration-updates.js";
import type { Configuration } from "../core/configuration-values.js";
import type { EndpointHealth } from "../core/endpoints.js";
import type { RecordEvent } from "../core/events.js";
import type { Instance, InstanceId } from "../core/instances.js";
import type { MemberRole } from "../core/membership-messages.js";
import type { PlacementEntry, Usage } from "../core/membership-values.js";
import type { Member } from "../core/memberships.js";
import type { PeerBytes, PeerLink, PeerLinkOptions } from "../links/peers.js";
import type { Settings } from "./settings.js";

/** What a mesh needs. */
export interface MeshOptions {
    readonly settings: Settings;
    readonly role: MemberRole;
    readonly store: KeyValueStore;
    readonly probe: Engines["probe"];
    /** The platform's instance list, at the start and at each change. */
    readonly instances: Observable<readonly Instance[]>;
    readonly clock: Clock;
    readonly random: () => number;
    readonly recordEvent: RecordEvent;
    /** Moments at which to look at what is due; tests pass their own. */
    readonly ticks?: Observable<unknown>;
    /** Opens the link to peers; tests pass their own. */
    readonly startLink?: (options: PeerLinkOptions) => Promise<PeerLink>;
}

/** What a mesh says of itself at the admin port. */
export interface MeshStatus {
    readonly member: string;
    readonly ready: boolean;
    readonly configuration: {
        readonly revisionInForce: number;
        readonly hash: string;
        /** Time since everything that the store accepted was known to be in force here. */
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
    /** True once a configuration is in force and reachable peers had the time to show a later one. */
    readonly isReady: () => boolean;
    readonly health: (instance: InstanceId) => EndpointHealth | undefined;
    /** Emits whenever some health, or what is known to be leaving, may have changed. */
    readonly healthChanges: Observable<void>;
    readonly instances: () => readonly Instance[];
    readonly isLeaving: (instance: InstanceId) => boolean;
    /** Probes an endpoint soon: a stream or a call gave cause. */
    readonly hastenProbe: (instance: InstanceId) => void;
    readonly members: () => readonly Member[];
    /** Puts out this process's usage counters; returns false if they are too long. */
    readonly publishUsage: (payload: string) => boolean;
    readonly usages: Observable<readonly Usage[]>;
    /** Placement values of every known key, now and at each change. */
    readonly placements: Observable<readonly PlacementEntry[]>;
    /** Takes note of this process's own write at once. */
    readonly observePlacement: (entry: PlacementEntry) => void;
    readonly peerBytes: () => PeerBytes;
    /** Tells peers that this process finishes its work; it has no duties from then on. */
    readonly startLeaving: () => void;
    /** Tells peers that this process has left, and closes everything. */
    readonly leave: () => Promise<void>;
    readonly status: () => MeshStatus;
    /** Address of the peers' port. */
    readonly address: string;
}
