import test from "ava";
import { createRandomGenerator } from "../../core/random-numbers.js";
import { ForwardingPeers } from "../forwarding-peers.js";

function createPeers(count: number): ForwardingPeers {
    const peers = ForwardingPeers.create({
        random: createRandomGenerator(3),
        expiryMilliseconds: () => 1_000,
    });
    const names = Array.from({ length: count }, (_, index) => `entry-${index}`);
    peers.setPeers(names.map(name => ({ name, address: "127.0.0.1:1", secret: name })));
    names.forEach(name => peers.recordReach(name, new Map([["llm", 4]]), 0));
    return peers;
}

const question = { service: "llm", triedPeers: new Set<string>(), minimumReached: 1 };

for (const count of [5, 194]) {
    test(`requests of an entry instance that is cut off spread over ${count} others`, t => {
        const peers = createPeers(count);
        const counts = new Map<string, number>();
        const requests = 20 * count;
        for (let index = 0; index < requests; index += 1) {
            const { name } = peers.choose(question, 10)!;
            peers.start(name);
            counts.set(name, (counts.get(name) ?? 0) + 1);
        }
        t.is(counts.size, count);
        t.true(Math.max(...counts.values()) <= 30, `${Math.max(...counts.values())}`);
    });
}

test("entry instances that reach no replica, failed, were tried or are silent get no requests", t => {
    const peers = createPeers(4);
    peers.recordReach("entry-0", new Map(), 10);
    peers.recordFailure("entry-1", 10);
    const triedPeers = new Set(["entry-2"]);
    t.is(peers.choose({ ...question, triedPeers }, 20)?.name, "entry-3");
    t.is(peers.choose({ ...question, triedPeers, minimumReached: 5 }, 20), undefined);
    t.is(peers.choose({ ...question, triedPeers }, 1_001), undefined);
    peers.recordReach("entry-1", new Map([["llm", 1]]), 1_020);
    t.is(peers.choose(question, 1_030)?.name, "entry-1");
});
