import { createSocket } from "node:dgram";
import { readFileSync } from "node:fs";
import test from "ava";
import { findPorts } from "../../scripts/free-ports.js";
import { createLogs } from "../../src/links/logs.js";
import { systemClock } from "../../src/links/system-clock.js";
import { decodeForwardedRequest, readForwardReply } from "../../src/serving/forwarded-requests.js";
import type { PeerMessage, PermitMessage } from "../../src/serving/peer-link.js";
import { PeerLink } from "../../src/serving/peer-link.js";
import type { RouteTable } from "../../src/serving/serving-configuration.js";
import { encodeMessages, samplePermits, sampleRequest, sampleState } from "./messages.js";

/** Messages as the version of commit 6f70a74 encoded them. */
const earlierMessages = JSON.parse(
    readFileSync(new URL("messages-6f70a74.json", import.meta.url), "utf8"),
) as Readonly<Record<string, string>>;

/** Removes the fields of a present message that the earlier version does not know, which it ignores. */
function withoutNewFields(present: unknown, earlier: unknown): unknown {
    const isRecord = (value: unknown): value is Record<string, unknown> =>
        typeof value === "object" && value !== null && !Array.isArray(value);
    if (!isRecord(present) || !isRecord(earlier)) {
        return present;
    }
    return Object.fromEntries(
        Object.keys(earlier).map(name => [name, withoutNewFields(present[name], earlier[name])]),
    );
}

/** Splits an encoded forwarded request into its description and its body. */
function splitForwarded(base64: string): readonly [unknown, string] {
    const bytes = Buffer.from(base64, "base64");
    const end = 4 + bytes.readUInt32BE(0);
    return [JSON.parse(bytes.subarray(4, end).toString("utf8")), bytes.subarray(end).toString("utf8")];
}

test.serial("an earlier version can read what this version sends", async t => {
    const present = await encodeMessages();
    t.deepEqual(Object.keys(present), Object.keys(earlierMessages));
    for (const [name, earlier] of Object.entries(earlierMessages)) {
        if (name === "forwarded") {
            const [description, body] = splitForwarded(present[name]!);
            const [earlierDescription, earlierBody] = splitForwarded(earlier);
            t.deepEqual(withoutNewFields(description, earlierDescription), earlierDescription);
            t.is(body, earlierBody);
        } else if (earlier.startsWith("{")) {
            const earlierValue = JSON.parse(earlier) as unknown;
            t.deepEqual(withoutNewFields(JSON.parse(present[name]!), earlierValue), earlierValue, name);
        } else {
            t.is(present[name], earlier, name);
        }
    }
});

test.serial("this version reads the datagrams of an earlier one", async t => {
    const port = await findPorts(2, undefined);
    const states: PeerMessage[] = [];
    const permits: PermitMessage[] = [];
    const datagrams = Object.entries(earlierMessages).filter(([, text]) => text.startsWith("{"));
    const receiver = PeerLink.create({
        clock: systemClock,
        onMark: () => undefined,
        address: `127.0.0.1:${port}`,
        name: "entry-2",
        incarnation: "1",
        onMessage: message => states.push(message),
        onPermitMessage: (_, message) => permits.push(message),
        onChanges: () => undefined,
        onNews: () => undefined,
        log: createLogs("test", "error", { write: () => undefined })("peer"),
    });
    const sender = createSocket("udp4");
    const deadline = performance.now() + 5_000;
    while (states.length + permits.length < datagrams.length && performance.now() < deadline) {
        for (const [, text] of datagrams.slice(states.length + permits.length)) {
            await new Promise(resolve => sender.send(text, port, "127.0.0.1", resolve));
        }
        await new Promise(resolve => setTimeout(resolve, 50));
    }
    sender.close();
    receiver.close();
    t.deepEqual(states[0], {
        ...sampleState,
        from: "entry-1",
        incarnation: "1",
        sequence: 1,
        readsNews: false,
    });
    const key = (message: PermitMessage): string => JSON.stringify(message);
    t.deepEqual([...new Set(permits.map(key))].sort(), samplePermits.map(key).sort());
});

test("this version reads a forwarded request of an earlier one, and its replies", t => {
    const bytes = Buffer.from(earlierMessages["forwarded"]!, "base64");
    const table = {} as RouteTable;
    const decoded = decodeForwardedRequest(bytes, table, 2_000)!;
    const sent = sampleRequest();
    t.deepEqual(decoded.request, { ...sent.request, lastEventId: 5 });
    t.deepEqual(decoded.body, sent.body);
    t.deepEqual(decoded.route, { ...sent.route, maximumAttempts: 2 });
    t.is(decoded.deadline, 7_900);
    t.is(decoded.arrivedAt, 1_900);
    t.deepEqual(decoded.forwarded, { from: "entry-1", triedInstances: ["i1"], hasBegunResponse: true });
    const read = (name: string): ReturnType<typeof readForwardReply> => {
        const [header, value] = JSON.parse(earlierMessages[name]!) as [string, string];
        return readForwardReply({ [header]: value }, false);
    };
    t.deepEqual(read("refusal"), { outcome: "refused", runs: undefined });
    t.deepEqual(read("unavailable"), { outcome: "unavailable", runs: undefined });
    t.deepEqual(read("unknown"), { outcome: undefined, runs: 2 });
});
