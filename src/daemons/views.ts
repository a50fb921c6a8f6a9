/** What a daemon knows of the system around it at this moment. Source: the mesh, the store and the instance list. */
import type { Observable } from "rxjs";
import type { Configuration } from "../core/configuration-values.js";
import type { EndpointHealth } from "../core/endpoints.js";
import type { Instance, InstanceId } from "../core/instances.js";
import type { FabricPlacement } from "../core/placement-values.js";

/** Read-only view; every function answers from memory. */
export interface SystemView {
    /** Undefined until a first configuration is in force; the daemon is not ready before. */
    readonly configuration: () => Configuration | undefined;
    readonly instances: () => readonly Instance[];
    readonly instanceOf: (id: InstanceId) => Instance | undefined;
    /** True if the instance list or a peer says that the instance is leaving. */
    readonly isLeaving: (id: InstanceId) => boolean;
    readonly healthOf: (id: InstanceId) => EndpointHealth | undefined;
    readonly placements: () => readonly FabricPlacement[];
    /** Says that any of the above has changed. */
    readonly changes: Observable<unknown>;
}

/** Opaque counters of one process. */
export interface PeerUsage {
    readonly process: string;
    readonly incarnation: number;
    readonly payload: string;
}
