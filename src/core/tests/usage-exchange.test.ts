import test from "ava";
import * as fc from "fast-check";
import type { UsageSnapshot } from "../usage-exchange.js";
import { UsageExchange, peerUsageExpiryMilliseconds, maximumSnapshotSubscribers } from "../usage-exchange.js";

const caller = { team: "team", subscriber: "one" };

function snapshots(charges: readonly number[]): readonly UsageSnapshot[] {
    const exchange = UsageExchange.create();
    return charges.map(tokens => {
        exchange.add("model", caller, tokens);
        return exchange.snapshot();
    });
}

/** Returns the tokens charged to the team when a peer's snapshots are applied in the order given. */
function chargedBy(
    apply: UsageExchange["applyPeer"],
    received: readonly { readonly incarnation: number; readonly snapshot: UsageSnapshot }[],
): number {
    let sum = 0;
    received.forEach(({ incarnation, snapshot }, index) => {
        const charges = apply("peer", incarnation, snapshot, index);
        sum += charges
            .filter(charge => charge.subscriber === undefined)
            .reduce((total, charge) => total + charge.tokens, 0);
    });
    return sum;
}

const chargeLists = fc.array(fc.integer({ min: 1, max: 100 }), { minLength: 1, maxLength: 20 });

/** Snapshots of two incarnations, with duplicates and late snapshots of the old incarnation in between. */
function received(first: readonly number[], second: readonly number[], repeats: readonly number[]) {
    const old = snapshots(first).map(snapshot => ({ incarnation: 1, snapshot }));
    const restarted = snapshots(second).map(snapshot => ({ incarnation: 2, snapshot }));
    const order = [...old, restarted[0]!, ...old, ...restarted.slice(1)];
    return order.flatMap((item, index) => (repeats.includes(index) ? [item, item] : [item]));
}

const property = (create: () => UsageExchange["applyPeer"]) =>
    fc.property(chargeLists, chargeLists, fc.array(fc.nat({ max: 60 })), (first, second, repeats) => {
        const expected = [...first, ...second].reduce((sum, tokens) => sum + tokens, 0);
        return chargedBy(create(), received(first, second, repeats)) === expected;
    });

test("a peer's usage is charged once, despite a restart, duplicates and late snapshots", t => {
    fc.assert(
        property(() => {
            const exchange = UsageExchange.create();
            return exchange.applyPeer.bind(exchange);
        }),
        { seed: 6, numRuns: 200 },
    );
    t.pass();
});

test("the checker detects an exchange that ignores incarnations or charges each snapshot's recent part", t => {
    const ignoring = (): UsageExchange["applyPeer"] => {
        const exchange = UsageExchange.create();
        return (...[process, , snapshot, now]) => exchange.applyPeer(process, 1, snapshot, now);
    };
    const adding =
        (): UsageExchange["applyPeer"] =>
        (...[, , snapshot]) =>
            snapshot.totals.map(({ recentTokens, ...total }) => ({ ...total, tokens: recentTokens }));
    for (const create of [ignoring, adding]) {
        t.true(fc.check(property(create), { seed: 6, numRuns: 200 }).failed);
    }
});

test("a peer's usage during a long silence is not charged, as it took no capacity on this side", t => {
    const exchange = UsageExchange.create();
    const [first, second, third] = snapshots([10, 1_000, 7]);
    exchange.applyPeer("peer", 1, first!, 0);
    const charges = exchange.applyPeer("peer", 1, third!, 2 * peerUsageExpiryMilliseconds);
    t.deepEqual(
        charges.map(charge => charge.tokens),
        [7, 7],
    );
    t.deepEqual(exchange.applyPeer("peer", 1, second!, 2 * peerUsageExpiryMilliseconds), []);
    exchange.expire(1e9);
    t.is(exchange.peerCount, 0);
});

test("a snapshot lists the teams and only the heaviest subscribers", t => {
    const exchange = UsageExchange.create();
    for (let index = 0; index < 100; index += 1) {
        exchange.add("model", { team: "team", subscriber: `${index}` }, index + 1);
    }
    const { totals } = exchange.snapshot();
    t.is(totals.length, maximumSnapshotSubscribers + 1);
    t.is(totals.find(total => total.subscriber === undefined)?.tokens, 5_050);
    t.true(totals.some(total => total.subscriber === "99"));
    t.deepEqual(exchange.snapshot().totals, []);
});
