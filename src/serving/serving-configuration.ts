/** The serving configuration in force: routes, services, limits and workspaces, as one immutable value. */
import type { ColdStart } from "./availability/cold-replicas.js";
import { groupBy } from "./collections.js";
import type { EngineProfile } from "./engine-model.js";

/**
 * Whether a request may be retried: "idempotent" requests may run repeatedly, "once" requests run at most once,
 * "stream" responses are event streams.
 */
export type Repeatability = "idempotent" | "once" | "stream";

/** A service that a route sends requests to; it gets traffic in proportion to its weight. */
export interface RouteTarget {
    readonly service: string;
    readonly weight: number;
}

/** A route; a request takes the route of its host with the longest matching path prefix. */
export interface Route {
    readonly name: string;
    readonly host: string;
    readonly prefix: string;
    readonly repeatability: Repeatability;
    /** Maximum time for which a caller is kept waiting, in milliseconds. */
    readonly timeoutMilliseconds: number;
    /** Latency objective, in milliseconds: to the first event of a stream, otherwise to the complete response. */
    readonly objectiveMilliseconds: number;
    /** Urgency; 0 is the most urgent. */
    readonly rank: number;
    readonly targets: readonly RouteTarget[];
    /** Maximum number of replicas that may run one request; after a refusal, also the maximum number of attempts. */
    readonly maximumAttempts: number;
    readonly allowsAnonymous: boolean;
    /** True if a stream may be resumed at another replica after its last delivered event. */
    readonly isResumable: boolean;
}

/** A service that replicas offer. */
export interface ServiceProfile {
    readonly name: string;
    /** Connections that one replica accepts from all callers together. */
    readonly maximumConnections: number;
    /** Present if the replicas sustain fewer requests after a start. */
    readonly coldStart?: ColdStart | undefined;
    /** Present if the replicas are model engines. */
    readonly engine?: EngineProfile;
}

/** Limits on what a caller may send. */
export interface CallerLimits {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerMilliseconds: number;
    readonly idleMilliseconds: number;
}

/** A workspace and the credentials that belong to it. */
export interface WorkspaceProfile {
    readonly name: string;
    readonly credentials: readonly string[];
    /** Rank of all requests of the workspace; overrides the rank of the route. */
    readonly rank?: number;
}

export interface ServingConfiguration {
    readonly version: number;
    readonly routes: readonly Route[];
    readonly services: readonly ServiceProfile[];
    readonly limits: CallerLimits;
    /** Undefined if callers need no credential. */
    readonly workspaces: readonly WorkspaceProfile[] | undefined;
}

/** Lookup tables of one configuration. An admitted request keeps the table that it was admitted with. */
export class RouteTable {
    private readonly routesByHost: ReadonlyMap<string, readonly Route[]>;
    private readonly servicesByName: ReadonlyMap<string, ServiceProfile>;
    private readonly workspacesByCredential: ReadonlyMap<string, WorkspaceProfile>;

    private constructor(public readonly configuration: ServingConfiguration) {
        this.routesByHost = groupBy(sortByLongestPrefix(configuration.routes), route => route.host);
        this.servicesByName = new Map(configuration.services.map(service => [service.name, service]));
        this.workspacesByCredential = new Map(
            (configuration.workspaces ?? []).flatMap(workspace =>
                workspace.credentials.map(credential => [credential, workspace] as const),
            ),
        );
    }

    public static create(configuration: ServingConfiguration): RouteTable {
        return new RouteTable(configuration);
    }

    public get requiresCredential(): boolean {
        return this.configuration.workspaces !== undefined;
    }

    /** Returns the route of the host with the longest prefix that the path starts with. */
    public findRoute(host: string, path: string): Route | undefined {
        return this.routesByHost.get(host)?.find(route => path.startsWith(route.prefix));
    }

    public findService(name: string): ServiceProfile | undefined {
        return this.servicesByName.get(name);
    }

    public findWorkspace(credential: string): WorkspaceProfile | undefined {
        return this.workspacesByCredential.get(credential);
    }
}

/** True if a request on the route may run more than once. */
export function isRetryable(route: Pick<Route, "repeatability" | "isResumable">): boolean {
    const { repeatability, isResumable } = route;
    return repeatability === "idempotent" || (repeatability === "stream" && isResumable);
}

/** Picks a service of the route at random by weight; `random` returns a number in [0, 1). */
export function pickService(route: Route, random: () => number): string | undefined {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = random() * total;
    for (const target of route.targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return route.targets.at(-1)?.service;
}

function sortByLongestPrefix(routes: readonly Route[]): readonly Route[] {
    return [...routes].sort((left, right) => right.prefix.length - left.prefix.length);
}
