/** Layout of the demo: its processes, their addresses and their settings. */
import type { StandInSettings } from "../stand-ins/settings.js";

const entryInstances = 6;
const failureDomains = ["zone-a", "zone-b", "zone-c"] as const;
const replicasPerService = 3;
const services = ["tracker", "depot"] as const;
/** Ports of one entry instance: callers, and admin and peer ports of both daemons. */
const portsPerInstance = 5;

/** Model of the example configuration that the demo serves. */
export const demoModel = "triage-large";
/** Credentials of subscribers in the example's configuration. */
export const demoCredentials = [
    "anadolu-izmir-lead",
    "anadolu-izmir-tester",
    "anadolu-istanbul-producer",
    "anadolu-bursa-lead",
] as const;

/** Options of a layout. */
export interface LayoutOptions {
    /** Engine instances of each fabric domain. */
    readonly enginesPerDomain: number;
    readonly checksFencing: boolean;
    readonly seed: number;
}

/** One daemon of the demo. */
export interface DaemonLayout {
    readonly name: string;
    readonly command: "entry" | "placer";
    readonly instance: string;
    readonly failureDomain: string;
    readonly admin: string;
    readonly peer: string;
    /** Address at which an entry daemon serves callers; undefined for placer daemons. */
    readonly caller?: string;
    /** Content of the daemon's settings file. */
    readonly settings: Readonly<Record<string, unknown>>;
}

/** All processes of the demo. */
export interface DemoLayout {
    readonly standIns: StandInDocument;
    readonly admin: string;
    readonly platform: string;
    readonly daemons: readonly DaemonLayout[];
}

/** Content of the stand-ins' settings file. */
type StandInDocument = Pick<StandInSettings, "seed" | "admin" | "platform" | "entries"> & {
    readonly processes: readonly string[];
    readonly fabricDomains: StandInSettings["fabricDomains"];
    readonly services: readonly Partial<StandInSettings["services"][number]>[];
    readonly engines: Partial<StandInSettings["engines"]>;
};

/** Returns the number of ports that a layout needs. */
export function countPorts(options: LayoutOptions): number {
    const serviceReplicas = services.length * replicasPerService;
    const engines = failureDomains.length * options.enginesPerDomain;
    return 2 + entryInstances * portsPerInstance + serviceReplicas + engines;
}

/** Assigns consecutive ports from `firstPort` on to all processes. */
export function createLayout(firstPort: number, options: LayoutOptions): DemoLayout {
    let next = firstPort;
    const allocateAddress = (ports = 1): string => {
        const address = `127.0.0.1:${next}`;
        next += ports;
        return address;
    };
    const admin = allocateAddress();
    const platform = allocateAddress();
    const numbers = [...Array(entryInstances).keys()].map(index => index + 1);
    const places = numbers.map(number => ({
        number,
        failureDomain: failureDomains[(number - 1) % failureDomains.length]!,
        caller: allocateAddress(),
        entry: { admin: allocateAddress(), peer: allocateAddress() },
        placer: { admin: allocateAddress(), peer: allocateAddress() },
    }));
    const seeds = places.flatMap(place => [place.entry.peer, place.placer.peer]);
    const daemons = places.flatMap(place => [
        createDaemonLayout(
            "entry",
            place.number,
            place.failureDomain,
            place.entry,
            platform,
            seeds,
            place.caller,
        ),
        createDaemonLayout("placer", place.number, place.failureDomain, place.placer, platform, seeds),
    ]);
    const standIns: StandInDocument = {
        seed: options.seed,
        admin: { listen: admin },
        platform: { listen: platform, listLagMilliseconds: 1000 },
        entries: places.map(place => ({
            id: `entry-instance-${place.number}`,
            address: place.entry.peer,
            failureDomain: place.failureDomain,
            fabricDomain: place.failureDomain,
        })),
        processes: daemons.map(daemon => daemon.name),
        fabricDomains: failureDomains.map(failureDomain => ({
            id: failureDomain.replace("zone", "fabric"),
            failureDomain,
            engines: options.enginesPerDomain,
            listen: allocateAddress(options.enginesPerDomain),
        })),
        services: services.flatMap(service =>
            failureDomains.map((failureDomain, index) => ({
                id: `${service}-${index + 1}`,
                service,
                failureDomain,
                listen: allocateAddress(),
            })),
        ),
        engines: { checksFencing: options.checksFencing, slots: 16, loadMilliseconds: 300, loadsAtOnce: 36 },
    };
    return { standIns, admin, platform, daemons };
}

function createDaemonLayout(
    command: DaemonLayout["command"],
    number: number,
    failureDomain: string,
    ports: { readonly admin: string; readonly peer: string },
    platform: string,
    peers: readonly string[],
    caller?: string,
): DaemonLayout {
    const name = `${command}-${number}`;
    const instance = `entry-instance-${number}`;
    const seeds = peers.filter(peer => peer !== ports.peer);
    const settings = {
        name,
        instance,
        failureDomain,
        ...(caller === undefined ? {} : { caller: { listen: caller } }),
        admin: { listen: ports.admin },
        peer: { listen: ports.peer, seeds },
        platform: { stores: [platform] },
        log: { level: "warn" },
    };
    return { name, command, instance, failureDomain, caller, settings, ...ports };
}
