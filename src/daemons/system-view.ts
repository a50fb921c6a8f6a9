/** A daemon's current view of the system. Sources: the mesh, the store and the instance list. */
import type { Observable } from "rxjs";
import type { Configuration } from "../core/configuration-values.js";
import type { EndpointHealth } from "../core/endpoints.js";
import type { Instance, InstanceId } from "../core/instances.js";
import type { FabricPlacement } from "../core/fabric-placement.js";

/** Read-only view; every function returns data from memory. */
export interface SystemView {
    /** Undefined until a first configuration is in force; the daemon is not ready until then. */
    readonly configuration: () => Configuration | undefined;
    readonly instances: () => readonly Instance[];
    readonly instanceOf: (id: InstanceId) => Instance | undefined;
    /** True if the instance list or a peer reports that the instance is leaving. */
    readonly isLeaving: (id: InstanceId) => boolean;
    readonly healthOf: (id: InstanceId) => EndpointHealth | undefined;
    readonly placements: () => readonly FabricPlacement[];
    /** Emits when any part of the view may have changed. */
    readonly changes: Observable<unknown>;
}

/** Usage counters of one process, as an opaque payload. */
export interface PeerUsage {
    readonly process: string;
    readonly incarnation: number;
    readonly payload: string;
}

/** What one process knows of crashes, as an opaque payload. */
export interface PeerEvidence {
    readonly process: string;
    readonly payload: string;
    /** Local monotonic milliseconds. */
    readonly publishedAt: number;
}
