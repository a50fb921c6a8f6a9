/** What one serving process must know before it reads the store. */
import type { PaceBounds } from "./fleet-paces.js";
import type { RetryWindowOptions } from "./retry-windows.js";

export interface ServingSettings {
    /** Name of this entry instance. */
    readonly name: string;
    readonly failureDomain: string;
    readonly failureDomains: readonly string[];
    /** True only when the whole system starts for the first time. */
    readonly isFirstStart: boolean;
    /** Host and port, as are all addresses here. */
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly peerAddress: string;
    readonly metricsAddress: string;
    readonly storeAddress: string;
    /** Shortest life of a lease that the store grants. */
    readonly shortestLeaseMilliseconds: number;
    /** Time between two heartbeats of a registered instance. */
    readonly heartbeatMilliseconds: number;
    /** Time from SIGTERM to SIGKILL. */
    readonly shutdownMilliseconds: number;
    /** Bounds on how old the state may be that this process acts on. */
    readonly bounds: PaceBounds;
    /** Retry budget of each service, over all entry instances together. */
    readonly retries: RetryWindowOptions;
}
