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
