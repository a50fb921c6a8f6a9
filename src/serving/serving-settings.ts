/** Settings that a serving process needs before it reads its configuration from the store. */
import type { ColdBounds } from "./availability/cold-rate.js";
import type { TimingBounds } from "./fleet-timing.js";
import type { MachineLimits } from "./memory/process-limits.js";
import type { RetryWindowOptions } from "./retry-window.js";

export interface ServingSettings {
    /** Name of this entry instance. */
    readonly name: string;
    readonly failureDomain: string;
    readonly failureDomains: readonly string[];
    /** True only if the whole system starts for the first time. */
    readonly isFirstStart: boolean;
    /** `host:port`, as for all addresses in this interface. */
    readonly callerAddress: string;
    readonly readinessAddress: string;
    readonly peerAddress: string;
    readonly metricsAddress: string;
    readonly storeAddress: string;
    /** Minimum duration of a lease that the store grants. */
    readonly minimumLeaseMilliseconds: number;
    /** Time between two heartbeats of a registered instance. */
    readonly heartbeatMilliseconds: number;
    /** Time from SIGTERM to SIGKILL. */
    readonly shutdownMilliseconds: number;
    /** Limits on the age of the state that this process acts on. */
    readonly bounds: TimingBounds;
    /** Bound on the requests that a cold replica gets in one second. */
    readonly coldBounds?: ColdBounds;
    /**
     * True if callers may compete for short capacity: entry instances then tell each other of each change of their loads, and
     * share what is short by workspaces. Both cost processor time and bytes.
     */
    readonly isCapacityContended?: boolean;
    /** Retry budget per service, for all entry instances together. */
    readonly retries: RetryWindowOptions;
    /** What the machine has; defaults apply where it is not known. */
    readonly machine?: MachineLimits;
}
