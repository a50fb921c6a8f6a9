import { createSocket } from "node:dgram";
import type { Socket } from "node:dgram";
import test from "ava";
import { findPorts } from "../../../scripts/free-ports.js";
import { createLogs } from "../../links/logs.js";
import { noCrashEvidence } from "../crash-attribution.js";
import type { CrashEvidence } from "../crash-attribution.js";
import { noWork } from "../placement/arrived-work.js";
import { encodeSharing, noSharing } from "../fairness/sharing-datagram.js";
import type { ChangesMessage, LoadNewsMessage, PeerMessage } from "../peer-link.js";
import { PeerLink } from "../peer-link.js";
import { systemClock } from "../../links/system-clock.js";
import type { ReceivedMark, RelayedChanges } from "../store-relay/change-relay.js";

const log = createLogs("test", "error", { write: () => undefined })("peer");

interface RelayObserver {
    readonly onChanges: (from: string, message: ChangesMessage) => void;
    readonly onMark: (from: string, mark: ReceivedMark) => void;
    /** Time of both links. */
    readonly now?: () => number;
}

async function createLinks(
    { onChanges, onMark, now }: RelayObserver = { onChanges: () => undefined, onMark: () => undefined },
): Promise<{
    readonly port: number;
    readonly sender: PeerLink;
    readonly receiver: PeerLink;
    readonly received: Promise<PeerMessage>;
}> {
    const port = await findPorts(2, undefined);
    const address = `127.0.0.1:${port}`;
    const resolvers: ((message: PeerMessage) => void)[] = [];
    const received = new Promise<PeerMessage>(resolve => resolvers.push(resolve));
    const options = {
        clock: now === undefined ? systemClock : { monotonicMilliseconds: now, wallMilliseconds: now },
        incarnation: "1",
        log,
        onPermitMessage: () => undefined,
        onMark,
        onChanges,
        onNews: () => undefined,
    };
    const onMessage = (message: PeerMessage): void => resolvers.forEach(resolve => resolve(message));
    const receiver = PeerLink.create({ ...options, address, name: "receiver", onMessage });
    const sender = PeerLink.create({
        ...options,
        address: `127.0.0.1:${port + 1}`,
        name: "sender",
        onMessage: () => undefined,
    });
    sender.setPeers([address], []);
    return { port, sender, receiver, received };
}

const emptyState = {
    isIssuing: false,
    reachedCounts: new Map<string, number>(),
    unreachableServices: [],
    limits: [],
    loads: [],
    suspicions: [],
    groups: [],
    leaving: [],
    configurationVersion: 0,
    acceptsChanges: false,
    isServed: true,
    work: noWork,
    sharing: noSharing,
    conversions: [],
};

test.serial(
    "relayed changes of the store arrive at a peer unchanged, with the time of its latest mark",
    async t => {
        const changes: RelayedChanges = {
            era: 2,
            after: 10,
            revision: 12,
            puts: [{ key: "a", value: "1", modRevision: 12, createRevision: undefined }],
            deletes: ["b"],
            compact: {
                after: 8,
                puts: [{ key: "c", value: "3", modRevision: 9, createRevision: 9 }],
                deletes: ["b"],
                edited: [
                    {
                        key: "a",
                        modRevision: 12,
                        createRevision: undefined,
                        baseRevision: 7,
                        digest: "d1",
                        edits: [{ at: 1, removed: 2, inserted: "1" }],
                    },
                ],
            },
            faultAge: 40,
        };
        const messages: ChangesMessage[] = [];
        const marks: ReceivedMark[] = [];
        let now = 100;
        const { port, sender, receiver } = await createLinks({
            onChanges: (_, message) => messages.push(message),
            onMark: (_, mark) => marks.push(mark),
            now: () => now,
        });
        const until = async (isOver: () => boolean): Promise<void> => {
            while (!isOver()) {
                await new Promise(resolve => setTimeout(resolve, 5));
            }
        };
        const address = `127.0.0.1:${port}`;
        sender.sendChanges([{ address, mark: undefined }], changes);
        await until(() => messages.length === 1);
        t.deepEqual(messages[0], { changes, knownAt: undefined, readsMarks: true });
        receiver.sendMark(`127.0.0.1:${port + 1}`, { era: 2, revision: 11 });
        await until(() => marks.length === 1);
        t.deepEqual(marks[0]?.position, { era: 2, revision: 11 });
        now = 900;
        sender.sendChanges([{ address, mark: marks[0] }], changes);
        sender.sendChanges([{ address, mark: { ...marks[0]!, incarnation: "earlier start" } }], changes);
        await until(() => messages.length === 3);
        t.deepEqual(
            messages.slice(1).map(({ knownAt }) => knownAt),
            [100, undefined],
        );
        const compact = { ...changes.compact, after: 11, puts: [] };
        t.deepEqual(messages[1]?.changes, { ...changes, after: 11, compact });
        sender.close();
        receiver.close();
    },
);

test.serial("changes of an earlier version prove no time up to which they hold all changes", async t => {
    const messages: ChangesMessage[] = [];
    const { port, sender, receiver } = await createLinks({
        onChanges: (_, message) => messages.push(message),
        onMark: () => undefined,
    });
    const socket = createSocket("udp4");
    const changes = { era: 1, after: 3, revision: 4, puts: [], deletes: [] };
    socket.send(JSON.stringify({ from: "sender", changes }), port, "127.0.0.1");
    while (messages.length === 0) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    t.deepEqual(messages, [
        { changes: { ...changes, faultAge: undefined }, knownAt: undefined, readsMarks: false },
    ]);
    socket.close();
    sender.close();
    receiver.close();
});

test.serial("what is known of crashes arrives at a peer unchanged", async t => {
    const { sender, receiver, received } = await createLinks();
    const crashEvidence: CrashEvidence = {
        reports: [{ request: "r", start: "i 1", traits: ["a", "b"], hasHead: true, age: 5 }],
        sound: [["c", 7]],
        quarantines: [[["a"], 9]],
    };
    sender.send({ ...emptyState, crashEvidence }, true);
    t.deepEqual((await received).crashEvidence, crashEvidence);
    sender.close();
    receiver.close();
});

test.serial("work that was refused and conversions reach a peer, so that placement counts both", async t => {
    const { sender, receiver, received } = await createLinks();
    const work = {
        counters: [{ model: "small", arrivedMilliseconds: 900, refusedMilliseconds: 300 }],
        refusedSamples: ["0a1b2c"],
    };
    const conversions = [{ failureDomain: "a", from: "large", to: "small", newGroups: 2 }];
    sender.send({ ...emptyState, crashEvidence: noCrashEvidence, work, conversions }, true);
    const message = await received;
    t.deepEqual(message.work, work);
    t.deepEqual(message.conversions, conversions);
    sender.close();
    receiver.close();
});
test.serial(
    "what is known of refused callers arrives at a peer unchanged, and takes no bytes while there is none",
    async t => {
        const { sender, receiver, received } = await createLinks();
        const sharing = {
            shortPools: ["llm small"],
            places: [{ identity: "a1", waitedMilliseconds: 20, dueInMilliseconds: -3, isPromised: true }],
            usage: [{ pool: "llm small", workspace: "w", arrivedMilliseconds: 90, startedMilliseconds: 70 }],
            sessions: [{ session: "5c1e", refusals: 2, ageMilliseconds: 30 }],
        };
        sender.send({ ...emptyState, crashEvidence: noCrashEvidence, sharing }, true);
        t.deepEqual((await received).sharing, sharing);
        t.is(encodeSharing(noSharing), undefined);
        sender.close();
        receiver.close();
    },
);

test.serial("a datagram of an earlier version is read", async t => {
    const { port, sender, receiver, received } = await createLinks();
    const socket: Socket = createSocket("udp4");
    const text = '{"from":"old","incarnation":"1","sequence":1,"loads":[],"suspicions":[]}';
    socket.send(text, port, "127.0.0.1");
    const message = await received;
    t.is(message.from, "old");
    t.deepEqual(message.crashEvidence, noCrashEvidence);
    t.deepEqual(message.work, noWork);
    socket.close();
    sender.close();
    receiver.close();
});

test.serial("evacuations arrive at a peer unchanged, and nothing is sent without any", async t => {
    for (const evacuations of [{ era: 2, revision: 40, failureDomains: ["a", "b"] }, undefined]) {
        const { sender, receiver, received } = await createLinks();
        sender.send({ ...emptyState, crashEvidence: noCrashEvidence, evacuations }, true);
        t.deepEqual((await received).evacuations, evacuations);
        sender.close();
        receiver.close();
    }
});

test.serial("news of a load arrives at a peer unchanged, and an older state after it is dropped", async t => {
    const port = await findPorts(2, undefined);
    const address = `127.0.0.1:${port}`;
    const news: LoadNewsMessage[] = [];
    const states: PeerMessage[] = [];
    const receiver = PeerLink.create({
        clock: systemClock,
        address,
        name: "receiver",
        incarnation: "1",
        onMark: () => undefined,
        onMessage: message => states.push(message),
        onNews: (_, message) => news.push(message),
        onPermitMessage: () => undefined,
        onChanges: () => undefined,
        log,
    });
    const socket: Socket = createSocket("udp4");
    const loads = [
        {
            group: "g@1",
            urgent: { requests: 1, unreadTokens: 20, predictedRequests: 1, outputTokens: 9 },
            all: { requests: 2, unreadTokens: 30, predictedRequests: 1, outputTokens: 9 },
        },
    ];
    const sender = PeerLink.create({
        clock: systemClock,
        address: `127.0.0.1:${port + 1}`,
        name: "sender",
        incarnation: "1",
        onMark: () => undefined,
        onMessage: () => undefined,
        onNews: () => undefined,
        onPermitMessage: () => undefined,
        onChanges: () => undefined,
        log,
    });
    sender.sendNews(address, { loads, plain: [["p1", 2]] });
    sender.sendNews(address, { loads, plain: [["p1", 2]] });
    while (news.length < 2) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    t.deepEqual(news[0], { loads, plain: [["p1", 2]] });
    sender.setPeers([address], []);
    sender.send({ ...emptyState, loads, crashEvidence: noCrashEvidence }, true);
    while (states.length < 1) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    t.deepEqual(states.shift()?.loads, loads);
    const state = { from: "sender", incarnation: "1", loads: [], suspicions: [] };
    socket.send(JSON.stringify({ ...state, sequence: 1 }), port, "127.0.0.1");
    socket.send(JSON.stringify({ ...state, sequence: 9 }), port, "127.0.0.1");
    while (states.length < 1) {
        await new Promise(resolve => setTimeout(resolve, 5));
    }
    t.is(states.length, 1);
    socket.close();
    sender.close();
    receiver.close();
});
