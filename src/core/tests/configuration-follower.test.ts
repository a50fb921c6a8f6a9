import test from "ava";
import type { ConfigurationEntry } from "../configuration-updates.js";
import {
    assembleConfiguration,
    parseConfigurationValue,
    safeParseConfigurationValue,
} from "../configuration-values.js";
import { ConfigurationFollower } from "../configuration-follower.js";
import { ChervilError } from "../errors.js";

const share = "config/teams/anadolu/share";
const rank = "config/teams/anadolu/rank";

function entry(key: string, value: string, modRevision: number, createRevision?: number) {
    return { key, value, modRevision, createRevision };
}

function changes(revision: number, puts: ReturnType<typeof entry>[], deletes: string[] = []) {
    return { kind: "changes" as const, revision, puts, deletes };
}

function follow(revision: number, ...entries: ReturnType<typeof entry>[]): ConfigurationFollower {
    const follower = ConfigurationFollower.create();
    follower.applySnapshot({ revision, entries });
    return follower;
}

function shareOf(follower: ConfigurationFollower): number | undefined {
    return follower.configuration.teams.get("anadolu")?.share;
}

test("values are validated by path, and faults name the key and the field", t => {
    const fault = safeParseConfigurationValue("config/teams/a/limits", '{"maximumTokens":0}');
    t.false(fault.success);
    t.deepEqual(!fault.success && fault.fault.path, ["config/teams/a/limits", "maximumTokens"]);
    t.false(safeParseConfigurationValue("config/teams/a/limits", '{"other":1}').success);
    t.false(safeParseConfigurationValue("config/teams/a/b/c", "1").success);
    t.false(safeParseConfigurationValue(share, "-1").success);
    t.false(safeParseConfigurationValue(share, "{").success);
    t.false(safeParseConfigurationValue(share, " ".repeat(70_000)).success);
    t.true(safeParseConfigurationValue(share, "2").success);
    const thrown = t.throws(() => parseConfigurationValue(rank, '"first"'), { instanceOf: ChervilError });
    t.is(thrown instanceof ChervilError && thrown.fault.code, "invalidConfiguration");
});

test("a fault never contains a secret", t => {
    const secret = "c2VjcmV0LXNlY3JldA";
    const value = JSON.stringify({ current: "a", keys: [{ id: "a", secret }] });
    const parsed = safeParseConfigurationValue("config/keys/resume", value);
    t.false(parsed.success);
    t.false(JSON.stringify(parsed).includes(secret));
});

test("unset values have defaults", t => {
    const configuration = assembleConfiguration(1, [
        parseConfigurationValue(
            "config/teams/anadolu/subscribers/lead",
            `{"credentialHash":"${"0".repeat(64)}"}`,
        ),
        parseConfigurationValue("config/models/draft", '{"version":"1"}'),
    ]);
    t.is(configuration.teams.get("anadolu")?.share, 1);
    t.deepEqual(configuration.teams.get("anadolu")?.models, []);
    t.is(configuration.teams.get("anadolu")?.subscribers[0]?.id, "lead");
    t.is(configuration.models.get("draft")?.instancesPerReplica, 8);
    t.is(configuration.placement.weights.groupDowntime, 1);
    t.is(configuration.limits.requests.bodyBytes, 1_048_576);
    t.is(configuration.sealingKeys, undefined);
});

test("only later revisions are applied, whether from a snapshot, a watch or a peer", t => {
    const follower = follow(10, entry(share, "2", 8));
    t.true(follower.applySnapshot({ revision: 7, entries: [entry(share, "1", 5)] }).stale);
    follower.applyWatch(changes(9, [entry(share, "1", 9)]));
    follower.applyUpdate(
        follow(9, entry(share, "1", 5)).updateFor({ revision: 0, hash: "", standingHash: "" })!,
    );
    t.is(shareOf(follower), 2);
    t.is(follower.revisionInForce, 10);
    follower.applyWatch(changes(12, [entry(share, "3", 12)]));
    t.is(shareOf(follower), 3);
});

test("a read that claims a later revision but shows an older value is dropped", t => {
    const follower = follow(10, entry(share, "2", 8));
    t.true(follower.applySnapshot({ revision: 20, entries: [entry(share, "1", 5)] }).stale);
    t.is(shareOf(follower), 2);
});

test("a deleted path is not restored by an older snapshot or a peer", t => {
    const follower = follow(10, entry(share, "2", 8), entry(rank, "0", 9));
    follower.applyWatch(changes(11, [], [share]));
    const old: ConfigurationEntry = { path: share, text: "2", modRevision: 8, createRevision: 8 };
    follower.applyUpdate({ from: 10, revision: 12, entries: [old], deletions: [] });
    follower.applySnapshot({ revision: 10, entries: [entry(share, "2", 8)] });
    t.is(shareOf(follower), 1);
    t.is(follower.configuration.teams.get("anadolu")?.rank, 0);
});

test("an invalid value leaves the last valid one in force and is listed", t => {
    const follower = follow(10, entry(share, "2", 8, 8));
    const change = follower.applyWatch(changes(11, [entry(share, "-4", 11, 8)]));
    t.is(change.rejections.length, 1);
    t.is(follower.rejections[0]?.standingRevision, 8);
    t.is(shareOf(follower), 2);
    follower.applyWatch(changes(12, [entry(share, "-5", 12, 12)]));
    t.is(shareOf(follower), undefined, "the path was deleted and created again in between");
});

test("a new process takes the last valid value of a path from a peer", t => {
    const established = follow(10, entry(share, "2", 8, 8));
    established.applyWatch(changes(11, [entry(share, "-4", 11, 8)]));
    const newcomer = follow(11, entry(share, "-4", 11, 8));
    t.is(shareOf(newcomer), undefined);
    t.true(newcomer.isBehind(established.digest));
    newcomer.applyUpdate(established.updateFor(newcomer.digest)!);
    t.is(shareOf(newcomer), 2);
    t.false(newcomer.isBehind(established.digest));
    t.is(newcomer.updateFor(established.digest), undefined);
});

test("a difference brings a peer up to date, and a difference that would leave a gap is dropped", t => {
    const source = follow(10, entry(share, "2", 8), entry(rank, "0", 9));
    const behind = follow(10, entry(share, "2", 8), entry(rank, "0", 9));
    source.applyWatch(changes(12, [entry(share, "3", 12)], [rank]));
    t.true(behind.isBehind(source.digest));
    const update = source.updateFor(behind.digest)!;
    t.is(update.from, 10);
    t.is(update.entries.length, 1);
    t.true(follow(9).applyUpdate(update).stale);
    behind.applyUpdate(update);
    t.deepEqual(behind.digest, source.digest);
    const empty = ConfigurationFollower.create();
    empty.applyUpdate(source.updateFor(empty.digest)!);
    t.deepEqual(empty.digest, source.digest);
});

test("a digest alone advances a peer that holds equal entries", t => {
    const ahead = follow(10, entry(share, "2", 8));
    const behind = follow(10, entry(share, "2", 8));
    ahead.applyWatch({ kind: "progress", revision: 500 });
    t.false(behind.isBehind(ahead.digest));
    behind.applyDigest(ahead.digest);
    t.is(behind.revisionInForce, 500);
});
