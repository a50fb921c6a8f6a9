/** The messages between entry instances, encoded by the present version. */
import { createSocket } from "node:dgram";
import { findPorts } from "../../scripts/free-ports.js";
import { createLogs } from "../../src/links/logs.js";
import { systemClock } from "../../src/links/system-clock.js";
import { formatPeer } from "../../src/daemons/serving/serving-follower.js";
import type { AdmittedRequest } from "../../src/serving/exchange-context.js";
import { noSharing } from "../../src/serving/fairness/sharing-datagram.js";
import { encodeForwardedRequest, forwardReplyHeaders } from "../../src/serving/forwarded-requests.js";
import { noWork } from "../../src/serving/placement/arrived-work.js";
import type { PeerMessage, PermitMessage } from "../../src/serving/peer-link.js";
import { PeerLink } from "../../src/serving/peer-link.js";
import { RequestIdentity } from "../../src/serving/request-identity.js";

export const sampleState: Omit<PeerMessage, "from" | "incarnation" | "sequence" | "readsNews"> = {
    loads: [
        {
            group: "g1@3",
            urgent: { requests: 1, unreadTokens: 20 },
            all: { requests: 2, unreadTokens: 30 },
        },
    ],
    suspicions: [{ group: "g2@1", instances: ["i1", "i2"] }],
    groups: [{ group: "g1", epoch: 3, model: "m", members: ["i1", "i2"] }],
    configurationVersion: 7,
    leaving: [
        { id: "i3", incarnation: 1_700_000_000_000 },
        { id: "i4", incarnation: undefined },
    ],
    crashEvidence: {
        reports: [{ request: "r", start: "i1 1", traits: ["a", "b"], hasHead: true, age: 5 }],
        sound: [["c", 7]],
        quarantines: [[["a"], 9]],
    },
    isIssuing: true,
    reachedCounts: new Map([["plain", 2]]),
    unreachableServices: ["pool"],
    acceptsChanges: false,
    isServed: true,
    evacuations: undefined,
    coldReplicas: undefined,
    limits: [
        { id: "i1", incarnation: 5, requestsPerSecond: 2.5, age: 10 },
        { id: "i2", incarnation: undefined, requestsPerSecond: undefined, age: 20 },
    ],
    work: noWork,
    sharing: noSharing,
    conversions: [],
};

export const samplePermits: readonly PermitMessage[] = [
    {
        kind: "question",
        id: 1,
        question: { replica: "i1", requestsPerSecond: 2, patienceMilliseconds: 100 },
    },
    { kind: "reply", id: 1, reply: { kind: "granted", delayMilliseconds: 5, nextMilliseconds: 10 } },
    { kind: "reply", id: 2, reply: { kind: "denied", nextMilliseconds: 10 } },
    { kind: "reply", id: 3, reply: { kind: "unavailable" } },
];

export function sampleRequest(): AdmittedRequest {
    const request = {
        id: "r1",
        method: "POST",
        host: "api.example",
        target: "/stream/a?b=c",
        path: "/stream/a",
        credential: undefined,
        timeoutMilliseconds: 2_000,
        lastEventId: 4,
        work: { model: "m", promptTokens: 100, promptSegments: ["5c1e"], promptStatement: "5c1e:80,91bd:20" },
        headers: ["Accept", "text/event-stream"],
    };
    const body = Buffer.from("prompt");
    return {
        request,
        table: undefined as unknown as AdmittedRequest["table"],
        route: {
            name: "stream",
            host: "api.example",
            prefix: "/stream/",
            repeatability: "stream",
            timeoutMilliseconds: 6_000,
            objectiveMilliseconds: 500,
            rank: 1,
            targets: [],
            maximumAttempts: 3,
            allowsAnonymous: false,
            isResumable: true,
        },
        service: "pool",
        workspace: "studio",
        rank: 2,
        body,
        identity: RequestIdentity.create(request, body),
        arrivedAt: 1_000,
        deadline: 7_000,
    };
}

/** Encodes one message of each kind: datagrams and values as text, forwarded requests in base64. */
export async function encodeMessages(): Promise<Readonly<Record<string, string>>> {
    const port = await findPorts(2, undefined);
    const receiver = createSocket("udp4");
    const texts: string[] = [];
    const count = 1 + samplePermits.length;
    const received = new Promise<void>(resolve =>
        receiver.on("message", bytes => {
            texts.push(bytes.toString("utf8"));
            if (texts.length === count) {
                resolve();
            }
        }),
    );
    await new Promise<void>(resolve => receiver.bind(port, "127.0.0.1", resolve));
    const address = `127.0.0.1:${port}`;
    const link = PeerLink.create({
        clock: systemClock,
        onMark: () => undefined,
        address: `127.0.0.1:${port + 1}`,
        name: "entry-1",
        incarnation: "1",
        onMessage: () => undefined,
        onPermitMessage: () => undefined,
        onChanges: () => undefined,
        onNews: () => undefined,
        log: createLogs("test", "error", { write: () => undefined })("peer"),
    });
    link.setPeers([address], []);
    link.send(sampleState, true);
    samplePermits.forEach(permit => link.sendPermitMessage(address, permit));
    await received;
    link.close();
    receiver.close();
    const state = texts.find(text => !text.includes('"permit"'))!;
    const permits = texts.filter(text => text.includes('"permit"')).sort();
    const forwarded = encodeForwardedRequest(sampleRequest(), {
        from: "entry-1",
        maximumRuns: 2,
        lastEventId: 5,
        triedInstances: ["i1"],
        hasBegunResponse: true,
        now: 1_100,
    });
    const registration = { address: "10.0.0.1:7340", failureDomain: "a", secret: "s" };
    return {
        state,
        ...Object.fromEntries(permits.map((text, index) => [`permit ${index + 1}`, text])),
        forwarded: forwarded.toString("base64"),
        refusal: JSON.stringify(forwardReplyHeaders(503, "refused", 0)),
        unavailable: JSON.stringify(forwardReplyHeaders(503, "expired", 0)),
        unknown: JSON.stringify(forwardReplyHeaders(504, "expired", 2)),
        registration: formatPeer(registration, "incarnation-1"),
    };
}
