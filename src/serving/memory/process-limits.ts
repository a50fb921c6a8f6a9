/** Divides the memory and the descriptors of a machine: what is left for messages and for connections of each port. */

/** What the settings state of the machine. */
export interface MachineLimits {
    /** Rate of the machine's link in Mbit per second. */
    readonly linkMegabits?: number | undefined;
    readonly memoryMegabytes: number | undefined;
    readonly descriptors: number | undefined;
}

/** What a process may hold. */
export interface ProcessLimits {
    /** Bytes of messages that are read, answered or sent. */
    readonly messageBytes: number;
    readonly callerConnections: number;
    readonly peerConnections: number;
    /** Connections of the port for readiness checks, and of the one for metrics. */
    readonly auxiliaryConnections: number;
}

const bytesPerMegabyte = 1024 * 1024;
/** Machine that is assumed where the settings state none. */
const defaultMemoryMegabytes = 512;
const defaultDescriptors = 4_096;
/** Resident memory of a process without load and of what the garbage collector has yet to free, in MB; 65 to 76 were measured. */
const baseMegabytes = 85;
/** Part of the other memory for messages; the rest covers copies, fragmentation and garbage. */
const messageFraction = 0.3;
/** Lower bound in bytes: a body of the largest legal size, its copies and the responses of ordinary requests. */
const minimumMessageBytes = 20 * bytesPerMegabyte;
/** Descriptors for files and for the process itself. */
const fileDescriptors = 200;
/** Parts of the other descriptors; the rest is for connections to replicas, peers and the store. */
const callerFraction = 0.5;
const peerFraction = 0.1;
/** A load balancer and a collector of metrics open few connections. */
const auxiliaryConnections = 32;

export function divideMachine({ memoryMegabytes, descriptors }: MachineLimits): ProcessLimits {
    const megabytes = (memoryMegabytes ?? defaultMemoryMegabytes) - baseMegabytes;
    const connections = Math.max(0, (descriptors ?? defaultDescriptors) - fileDescriptors);
    return {
        messageBytes: Math.max(
            minimumMessageBytes,
            Math.floor(megabytes * messageFraction * bytesPerMegabyte),
        ),
        callerConnections: Math.max(auxiliaryConnections, Math.floor(connections * callerFraction)),
        peerConnections: Math.max(auxiliaryConnections, Math.floor(connections * peerFraction)),
        auxiliaryConnections,
    };
}
