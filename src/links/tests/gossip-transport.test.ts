import { fileURLToPath } from "node:url";
import test from "ava";
import type { PeerExchange } from "../../core/mesh-messages.js";
import { decodeExchange, encodeExchange } from "../peer-messages.js";
import { startGossipTransport } from "../gossip-transport.js";

const exchange: PeerExchange = {
    sender: "entry-1/entry",
    incarnation: 1_700_000_000_000,
    failureDomain: "fd-1",
    change: 12,
    acknowledged: 7,
    acknowledgedIncarnation: 5,
    members: [
        {
            id: "entry-1/entry",
            home: "fd-1",
            incarnation: 5,
            sequence: 9,
            failed: false,
            body: {
                address: "127.0.0.1:1",
                failureDomain: "fd-1",
                instance: "entry-1",
                role: "entry",
                state: "leaving",
            },
            load: { running: 0, waiting: 0 },
            ageMilliseconds: 20,
        },
    ],
    endpoints: [
        {
            id: "engine-1",
            home: "fd-1",
            incarnation: 3,
            sequence: 4,
            failed: true,
            body: {
                state: "serving",
                group: "g",
                epoch: 7,
                leaving: true,
                slots: 3,
                warm: [{ model: "draft", version: "2" }],
            },
            load: { running: 1, waiting: 2 },
            ageMilliseconds: 30,
        },
    ],
    memberPulses: [
        {
            key: 0xffff_ffff_fffe,
            sequence: 70_000,
            failed: false,
            load: { running: 0, waiting: 0 },
            ageMilliseconds: 40,
        },
    ],
    endpointPulses: [
        { key: 1, sequence: 8, failed: true, load: { running: 5, waiting: 6 }, ageMilliseconds: 990 },
        { key: 2, sequence: 9, failed: false, load: { running: 0, waiting: 0 }, ageMilliseconds: 0 },
    ],
    wanted: [3, 4],
    configuration: { revision: 44, hash: "h", standingHash: "s" },
    confirmedAgeMilliseconds: 0,
    configurationUpdate: {
        from: 3,
        revision: 44,
        entries: [
            {
                path: "p",
                text: "t",
                modRevision: 40,
                createRevision: 4,
                standing: { text: "u", modRevision: 30 },
            },
            { path: "q", text: "t", modRevision: 41, createRevision: 41, standing: undefined },
        ],
        deletions: [{ path: "r", revision: 42 }],
    },
    placements: [
        { key: "placement/a", modRevision: 4, text: "{}" },
        { key: "placement/b", modRevision: 5, text: undefined },
    ],
    leavings: [{ instance: "engine-2", incarnation: 0, ageMilliseconds: 50 }],
    usages: [{ process: "p", home: "fd-1", incarnation: 1, sequence: 2, payload: "x", ageMilliseconds: 60 }],
    crashEvidence: [
        { process: "q", home: "fd-2", incarnation: 3, sequence: 4, payload: "y", ageMilliseconds: 70 },
    ],
};

test("an exchange is unchanged after encoding and decoding, and invalid bytes give a fault", t => {
    const decoded = decodeExchange(encodeExchange(exchange));
    t.deepEqual(decoded, { success: true, data: exchange });
    t.false(decodeExchange(Buffer.from("no protobuf at all")).success);
});

test("peers exchange over gRPC; an unreachable peer and one whose handler throws give faults", async t => {
    const options = { listen: "127.0.0.1:0", tls: undefined, monotonicMilliseconds: () => performance.now() };
    const answering = await startGossipTransport({
        ...options,
        onExchange: request => ({ ...request, sender: "other" }),
    });
    const throwing = await startGossipTransport({
        ...options,
        onExchange: () => {
            throw new Error("broken");
        },
    });
    const deadline = performance.now() + 5_000;
    const answer = await answering.exchange(answering.address, exchange, deadline);
    t.is(answer.success && answer.data.sender, "other");
    t.true(answering.bytes().sent > 0 && answering.bytes().received > 0);
    t.false((await answering.exchange(throwing.address, exchange, deadline)).success);
    await throwing.close();
    const refused = await answering.exchange(throwing.address, exchange, performance.now() + 300);
    t.is(!refused.success && refused.fault.code, "peerUnreachable");
    await answering.close();
});

const keyFile = (name: string) => fileURLToPath(new URL(`keys/${name}`, import.meta.url));

/** Key files that are used only by these tests. */
function keys(owner: "peer" | "stranger") {
    return {
        certificate: keyFile(`${owner}.pem`),
        key: keyFile(`${owner}.key.pem`),
        authority: keyFile("authority.pem"),
    };
}

test("with keys set, only a peer whose certificate is of the same authority gets a response", async t => {
    let answered = 0;
    const start = (tls: ReturnType<typeof keys> | undefined) =>
        startGossipTransport({
            listen: "127.0.0.1:0",
            tls,
            monotonicMilliseconds: () => performance.now(),
            onExchange: request => {
                answered += 1;
                return request;
            },
        });
    const [one, two, stranger, plain] = await Promise.all([
        start(keys("peer")),
        start(keys("peer")),
        start(keys("stranger")),
        start(undefined),
    ]);
    const ask = async (link: typeof one) =>
        (await link.exchange(two.address, exchange, performance.now() + 3_000)).success;
    t.true(await ask(one));
    t.is(answered, 1);
    t.false(await ask(stranger));
    t.false(await ask(plain));
    t.is(answered, 1, "no other peer gets a response");
    await Promise.all([one, two, stranger, plain].map(link => link.close()));
});
