import test from "ava";
import { createRandomGenerator } from "../../core/random-numbers.js";
import { ReplicaReach } from "../replica-reach.js";

const engines = Array.from({ length: 6 }, (_, index) => ({ id: `e${index}`, service: "engines" }));
const plain = Array.from({ length: 3 }, (_, index) => ({ id: `p${index}`, service: "plain" }));
const [first, second, third] = engines as [(typeof engines)[0], (typeof engines)[0], (typeof engines)[0]];

function createReach(): ReplicaReach {
    const reach = ReplicaReach.create(createRandomGenerator(1));
    [...engines, ...plain].forEach(each => reach.recordHeard(each, 0));
    return reach;
}

test("replicas that end while others respond do not look like lost links", t => {
    const reach = createReach();
    reach.recordFailure(first, "silence", 100);
    reach.recordHeard(third, 150);
    reach.recordFailure(second, "silence", 200);
    t.is(reach.stateOf("engines", 210), "open");
    t.is(reach.reachedCounts(210).get("engines"), 4);
});

test("failures of several replicas with nothing received in between are a cut, of other services as well", t => {
    const reach = createReach();
    reach.recordFailure(first, "silence", 100);
    t.is(reach.stateOf("engines", 110), "open");
    reach.recordFailure(second, "connect", 150);
    t.is(reach.stateOf("engines", 160), "cutOff");
    t.is(reach.stateOf("plain", 160), "cutOff");
    reach.recordHeard(plain[0]!, 200);
    t.is(reach.stateOf("plain", 210), "open");
    t.is(reach.stateOf("engines", 210), "cutOff");
    reach.recordHeard(third, 300);
    t.is(reach.stateOf("engines", 310), "open");
});

test("new connections that fail while old ones yield responses leave the old ones in use", t => {
    const reach = createReach();
    [first, second].forEach(each => reach.recordFailure(each, "connect", 100));
    reach.recordHeard(third, 110);
    t.is(reach.stateOf("engines", 120), "connectedOnly");
    [first, second, third].forEach(each => reach.recordHeard(each, 125));
    t.is(reach.stateOf("engines", 126), "connectedOnly");
    t.true(reach.isUnconnectable(first, 126));
    reach.recordConnected(third.id);
    t.is(reach.stateOf("engines", 130), "open");
});

test("two replicas of three that cannot be reached do not put the links to the others in doubt again and again", t => {
    const reach = createReach();
    const changes = new Set<string>();
    for (let now = 100; now < 5_000; now += 100) {
        plain.slice(0, 2).forEach(each => reach.recordFailure(each, "connect", now));
        reach.recordConnected(plain[2]!.id);
        reach.recordHeard(plain[2]!, now + 10);
        changes.add(reach.stateOf("plain", now + 20));
    }
    t.deepEqual([...changes], ["open"]);
    t.true(reach.isUnconnectable(plain[0]!, 5_000));
    reach.recordConnected(plain[0]!.id);
    t.false(reach.isUnconnectable(plain[0]!, 5_200));
});

test("probes go to few replicas, and only while links are in doubt", t => {
    const reach = createReach();
    const all = [...engines, ...plain];
    t.deepEqual(reach.takeProbes(all, 50), []);
    engines.forEach(each => reach.recordFailure(each, "silence", 100));
    let probes = 0;
    for (let now = 100; now < 10_000; now += 10) {
        probes += reach.takeProbes(all, now).length;
    }
    t.true(probes > 20 && probes <= 20 * 4, `${probes}`);
    reach.recordHeard(first, 10_000);
    t.deepEqual(reach.takeProbes(all, 11_000), []);
});

test("a cut that lasts for minutes is not taken for healed while probes fail", t => {
    const reach = createReach();
    engines.forEach(each => reach.recordFailure(each, "connect", 100));
    for (let now = 600; now < 120_000; now += 500) {
        t.is(reach.stateOf("engines", now), "cutOff", `after ${now} ms`);
        reach.takeProbes(engines, now).forEach(each => {
            reach.recordFailure(each, "connect", now);
        });
    }
});
