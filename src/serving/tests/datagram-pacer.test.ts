import test from "ava";
import { DatagramPacer } from "../datagram-pacer.js";

/** A link that drops what its queue cannot hold. */
const link = { bytesPerMillisecond: 1_750, queueBytes: 64 * 1024 };
const pace = { bytesPerMillisecond: link.bytesPerMillisecond / 2, burstBytes: 32 * 1024 };
const largeText = "x".repeat(15_000);
const receivers = Array.from({ length: 17 }, (_, index) => `10.1.0.${index}:7000`);

/** Sends what each step yields over the link; returns how many datagrams reached each receiver. */
function play(
    milliseconds: number,
    step: (now: number) => readonly { readonly address: string; readonly text: string }[],
): ReadonlyMap<string, number> {
    const arrived = new Map(receivers.map(address => [address, 0]));
    let queued = 0;
    for (let now = 0; now < milliseconds; now += 1) {
        queued = Math.max(0, queued - link.bytesPerMillisecond);
        for (const { address, text } of step(now)) {
            if (queued + text.length <= link.queueBytes) {
                queued += text.length;
                arrived.set(address, arrived.get(address)! + 1);
            }
        }
    }
    return arrived;
}

test("a large value reaches all receivers over a slow link, and only the first ones if it is sent at once", t => {
    const pacer = DatagramPacer.create(pace, 0);
    const send = (now: number): void =>
        receivers.forEach(address => now % 800 === 0 && pacer.add({ address, text: largeText }));
    const paced = play(8_000, now => {
        send(now);
        return pacer.take(now);
    });
    t.deepEqual([...new Set(paced.values())], [10]);
    const atOnce = play(8_000, now =>
        now % 800 === 0 ? receivers.map(address => ({ address, text: largeText })) : [],
    );
    t.deepEqual([...new Set(atOnce.values())], [10, 0]);
});

test("if the link is too slow for all, each receiver gets its turn, with the latest datagram", t => {
    const pacer = DatagramPacer.create({ ...pace, bytesPerMillisecond: 100 }, 0);
    const latest = new Map<string, string>();
    const arrived = play(20_000, now => {
        if (now % 800 === 0) {
            receivers.forEach(address => pacer.add({ address, text: largeText + now }));
        }
        const taken = pacer.take(now);
        taken.forEach(({ address, text }) => latest.set(address, text));
        return taken;
    });
    const counts = [...arrived.values()];
    t.true(Math.min(...counts) >= 7 && Math.max(...counts) - Math.min(...counts) <= 1, counts.join());
    t.true([...latest.values()].every(text => Number(text.slice(largeText.length)) >= 16_000));
});

test("datagrams that were sent without waiting are counted", t => {
    const pacer = DatagramPacer.create({ bytesPerMillisecond: 1, burstBytes: 100 }, 0);
    pacer.add({ address: "a:1", text: "changes" });
    pacer.recordSent(130, 0);
    t.deepEqual(pacer.take(0), []);
    t.is(pacer.nextAt(0), 30);
    t.deepEqual(pacer.take(31), [{ address: "a:1", text: "changes" }]);
    t.is(pacer.nextAt(31), Number.POSITIVE_INFINITY);
    pacer.add({ address: "a:1", text: "changes" });
    pacer.recordSent(10_000_000, 31);
    t.is(pacer.nextAt(31), 31 + 128 * 1024);
});
