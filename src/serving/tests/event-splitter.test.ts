import test from "ava";
import fastCheck from "fast-check";
import { EventSplitter } from "../event-splitter.js";

const stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid:3\ndata: c\n\n";

test("chunks of any size yield the same events, byte for byte", t => {
    fastCheck.assert(
        fastCheck.property(fastCheck.array(fastCheck.integer({ min: 1, max: 9 })), sizes => {
            const splitter = EventSplitter.create();
            const bytes = Buffer.from(stream);
            const events = [];
            let offset = 0;
            for (const size of [...sizes, bytes.length]) {
                events.push(...splitter.push(bytes.subarray(offset, offset + size)));
                offset = Math.min(bytes.length, offset + size);
            }
            const text = events.map(event => event.bytes.toString()).join("");
            return (
                text === stream &&
                !splitter.hasPartialEvent &&
                JSON.stringify(events.map(event => event.id)) === "[1,2,null,3]"
            );
        }),
        { seed: 1 },
    );
    t.pass();
});

test("an incomplete event is not returned", t => {
    const splitter = EventSplitter.create();
    t.is(splitter.push(Buffer.from("id: 1\ndata: a\n\nid: 2\nda")).length, 1);
    t.true(splitter.hasPartialEvent);
});

/** Time in which a serving process must answer something, in milliseconds. */
const responseMilliseconds = 1_000;

// An event in pieces of one byte kept the process from answering any request: each piece copied the list of all earlier ones.
test("an event in pieces of one byte takes time in proportion to its bytes", t => {
    const splitter = EventSplitter.create();
    const piece = Buffer.from("x");
    const startedAt = performance.now();
    for (let count = 0; count < 65_536 && performance.now() - startedAt < responseMilliseconds; count += 1) {
        splitter.push(piece);
    }
    t.true(performance.now() - startedAt < responseMilliseconds);
});

// Each of many small events in a chunk searched the whole rest of the chunk for the longer form of a blank line.
test("many small events in one chunk take time in proportion to its bytes", t => {
    const splitter = EventSplitter.create();
    const chunk = Buffer.from(":\n\n".repeat(300_000));
    const startedAt = performance.now();
    t.is(splitter.push(chunk).length, 300_000);
    t.true(performance.now() - startedAt < responseMilliseconds);
});

test("an event without end is noticed by its pieces before its bytes", t => {
    const splitter = EventSplitter.create();
    for (let count = 0; count < 4_096; count += 1) {
        splitter.push(Buffer.from("x"));
    }
    t.true(splitter.partialEventBytes > 256 * 1024);
});
