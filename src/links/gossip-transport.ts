/** Gossip exchanges with peers over gRPC, with mutual TLS if key files are set. */
import { readFileSync } from "node:fs";
import * as grpc from "@grpc/grpc-js";
import type { Fault, Result } from "../core/errors.js";
import { fail, succeed, toFault, unwrap } from "../core/errors.js";
import type { PeerExchange } from "../core/mesh-messages.js";
import { decodeExchange, encodeExchange } from "./peer-messages.js";

/** Maximum size of a message that is sent to or received from a peer. */
const maximumMessageBytes = 16 * 1_024 * 1_024;

/** Paths of the PEM files for mutual TLS. */
export interface PeerKeyFiles {
    readonly certificate: string;
    readonly key: string;
    readonly authority: string;
}

/** Total bytes sent to and received from peers. */
export interface PeerBytes {
    readonly sent: number;
    readonly received: number;
}

/** Options of the connections to peers. */
export interface GossipTransportOptions {
    /** Host and port to listen on. */
    readonly listen: string;
    readonly tls: PeerKeyFiles | undefined;
    /** Returns the response to a peer's exchange. */
    readonly onExchange: (request: PeerExchange) => PeerExchange;
    /** Local monotonic milliseconds, for deadlines. */
    readonly monotonicMilliseconds: () => number;
}

/** Connections of one process to all its peers. */
export interface GossipTransport {
    /** Address that the server listens on. */
    readonly address: string;
    readonly exchange: (
        address: string,
        request: PeerExchange,
        deadline: number,
    ) => Promise<Result<PeerExchange>>;
    readonly bytes: () => PeerBytes;
    readonly close: () => Promise<void>;
}

type SwapMethod = grpc.MethodDefinition<PeerExchange, PeerExchange>;

class ByteCounter {
    public sent = 0;
    public received = 0;

    public encode = (exchange: PeerExchange): Buffer => {
        const bytes = Buffer.from(encodeExchange(exchange));
        this.sent += bytes.length;
        return bytes;
    };

    public decode = (bytes: Buffer): PeerExchange => {
        this.received += bytes.length;
        return unwrap(decodeExchange(bytes));
    };
}

function createSwapMethod(counter: ByteCounter): SwapMethod {
    return {
        path: "/chervilrouter.peers.Peers/Swap",
        requestStream: false,
        responseStream: false,
        requestSerialize: counter.encode,
        requestDeserialize: counter.decode,
        responseSerialize: counter.encode,
        responseDeserialize: counter.decode,
    };
}

function createServerCredentials(tls: PeerKeyFiles | undefined): grpc.ServerCredentials {
    if (tls === undefined) {
        return grpc.ServerCredentials.createInsecure();
    }
    const pair = { private_key: readFileSync(tls.key), cert_chain: readFileSync(tls.certificate) };
    return grpc.ServerCredentials.createSsl(readFileSync(tls.authority), [pair], true);
}

function createChannelCredentials(tls: PeerKeyFiles | undefined): grpc.ChannelCredentials {
    if (tls === undefined) {
        return grpc.credentials.createInsecure();
    }
    return grpc.credentials.createSsl(
        readFileSync(tls.authority),
        readFileSync(tls.key),
        readFileSync(tls.certificate),
    );
}

const messageLimits = {
    "grpc.max_receive_message_length": maximumMessageBytes,
    "grpc.max_send_message_length": maximumMessageBytes,
};

function createUnreachableFault(address: string, error: Error): Fault {
    return {
        code: "peerUnreachable",
        message: `exchange with peer ${address} failed: ${error.message}`,
        step: "gossip",
        peer: address,
        notRun: false,
    };
}

function bindServer(
    server: grpc.Server,
    address: string,
    credentials: grpc.ServerCredentials,
): Promise<number> {
    return new Promise((resolve, reject) => {
        server.bindAsync(address, credentials, (error, port) => (error ? reject(error) : resolve(port)));
    });
}

/** gRPC clients by address; the least recently used are closed beyond a maximum number. */
class PeerClients {
    private readonly clients = new Map<string, grpc.Client>();
    private readonly credentials: grpc.ChannelCredentials;
    private readonly maximumClients = 64;

    public constructor(tls: PeerKeyFiles | undefined) {
        this.credentials = createChannelCredentials(tls);
    }

    public get(address: string): grpc.Client {
        const client =
            this.clients.get(address) ??
            new grpc.Client(address, this.credentials, {
                ...messageLimits,
                "grpc.initial_reconnect_backoff_ms": 200,
                "grpc.max_reconnect_backoff_ms": 2_000,
            });
        this.clients.delete(address);
        this.clients.set(address, client);
        this.closeLeastRecentlyUsed();
        return client;
    }

    public close(): void {
        for (const client of this.clients.values()) {
            client.close();
        }
        this.clients.clear();
    }

    /** The map is in order of use, so its first entries are the least recently used clients. */
    private closeLeastRecentlyUsed(): void {
        for (const [address, client] of [...this.clients].slice(0, -this.maximumClients)) {
            client.close();
            this.clients.delete(address);
        }
    }
}

function handleExchange(
    onExchange: GossipTransportOptions["onExchange"],
    request: PeerExchange,
    callback: grpc.sendUnaryData<PeerExchange>,
): void {
    let response: PeerExchange;
    try {
        response = onExchange(request);
    } catch (thrown) {
        const details = toFault(thrown, "gossip", request.sender).message;
        callback({ code: grpc.status.INTERNAL, details });
        return;
    }
    callback(null, response);
}

/** Starts the gRPC server and the clients of peers. Throws a ChervilError if the port or the keys are unusable. */
export async function startGossipTransport(options: GossipTransportOptions): Promise<GossipTransport> {
    const counter = new ByteCounter();
    const method = createSwapMethod(counter);
    const server = new grpc.Server(messageLimits);
    server.addService(
        { Swap: method },
        {
            Swap: (
                call: grpc.ServerUnaryCall<PeerExchange, PeerExchange>,
                callback: grpc.sendUnaryData<PeerExchange>,
            ) => handleExchange(options.onExchange, call.request, callback),
        },
    );
    const port = await bindServer(server, options.listen, createServerCredentials(options.tls)).catch(
        (thrown: unknown) => unwrap(fail<number>({ ...toFault(thrown, "gossip"), code: "invalidSettings" })),
    );
    const clients = new PeerClients(options.tls);
    return {
        address: `${options.listen.slice(0, options.listen.lastIndexOf(":"))}:${port}`,
        exchange: (address, request, deadline) =>
            new Promise(resolve => {
                const remaining = Math.max(0, deadline - options.monotonicMilliseconds());
                clients
                    .get(address)
                    .makeUnaryRequest(
                        method.path,
                        method.requestSerialize,
                        method.responseDeserialize,
                        request,
                        { deadline: Date.now() + remaining },
                        (error, response) =>
                            resolve(
                                error !== null || response === undefined
                                    ? fail(
                                          createUnreachableFault(
                                              address,
                                              error ?? new Error("empty response"),
                                          ),
                                      )
                                    : succeed(response),
                            ),
                    );
            }),
        bytes: () => ({ sent: counter.sent, received: counter.received }),
        close: async () => {
            clients.close();
            await new Promise<void>(resolve => server.tryShutdown(() => resolve()));
        },
    };
}
