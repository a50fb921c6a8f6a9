import test from "ava";
import { RequestIdentity } from "../request-identity.js";
import type { CallerRequest } from "../wire-format.js";

const request: CallerRequest = {
    id: "1",
    method: "POST",
    host: "api.example",
    target: "/boards/7?page=2",
    path: "/boards/7",
    credential: "key-1",
    timeoutMilliseconds: 1_000,
    lastEventId: undefined,
    work: undefined,
    headers: [],
};

function identify(changes: Partial<CallerRequest>, body = "body"): RequestIdentity {
    return RequestIdentity.create({ ...request, ...changes }, Buffer.from(body));
}

test("a repeated request has the same identity whatever the id and time-out of its attempt", t => {
    t.is(identify({ id: "2", timeoutMilliseconds: 5 }).hash, identify({}).hash);
});

test("requests of another caller, body, method, host or target have another identity", t => {
    const others = [
        identify({ credential: "key-2" }),
        identify({ credential: undefined }),
        identify({}, "other body"),
        identify({ method: "PUT" }),
        identify({ host: "other.example" }),
        identify({ target: "/boards/8", path: "/boards/8" }),
    ];
    for (const kind of ["hash", "resourceHash"] as const) {
        t.is(new Set([identify({}), ...others].map(each => each[kind])).size, others.length + 1);
    }
});

test("requests that differ in their query alone have the same resource", t => {
    const other = identify({ target: "/boards/7?page=3" });
    t.not(other.hash, identify({}).hash);
    t.is(other.resourceHash, identify({}).resourceHash);
});
