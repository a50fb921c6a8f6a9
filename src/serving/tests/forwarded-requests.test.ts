import test from "ava";
import { forwardReplyHeaders, readForwardReply } from "../forwarded-requests.js";

function toHeaders(list: readonly string[]): Record<string, string> {
    return { [list[0]!]: list[1]! };
}

// A header in a replica's response was taken for the statement of the entry instance that no replica ran the request.
test("only an entry instance itself states that a forwarded request has not run", t => {
    const refusal = toHeaders(forwardReplyHeaders(503, "refused", 0));
    t.is(readForwardReply(refusal, false).outcome, "refused");
    t.deepEqual(readForwardReply(refusal, true), { outcome: undefined, runs: undefined });
    t.deepEqual(readForwardReply(toHeaders(forwardReplyHeaders(502, "lost", 2)), true), {
        outcome: undefined,
        runs: undefined,
    });
});
