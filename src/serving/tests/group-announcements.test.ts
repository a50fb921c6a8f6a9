import test from "ava";
import { createRandomGenerator } from "../../core/random-numbers.js";
import type { FleetInstance } from "../fleets.js";
import type { GroupAnnouncement } from "../group-announcements.js";
import { GroupAnnouncements, OpenedGroups } from "../group-announcements.js";
import { SimulatedFleet } from "./simulated-fleet.js";
import { groupMember, viewOf } from "./fleet-fixtures.js";

const members = [groupMember("old", 0), groupMember("old", 1)];
const announced: GroupAnnouncement = {
    group: "new",
    epoch: 2,
    model: "small",
    members: members.map(({ id }) => id),
};

function servable(
    instances: readonly FleetInstance[],
    announcements: readonly GroupAnnouncement[] = [announced],
): readonly string[] {
    return [...viewOf(instances, announcements).groups.keys()];
}

function withMembership(
    instance: FleetInstance,
    membership: FleetInstance["status"]["membership"],
): FleetInstance {
    return { ...instance, status: { ...instance.status, membership } };
}

test("a group that registrations do not show yet takes requests once it is announced", t => {
    t.deepEqual(servable(members, []), ["old@1"]);
    t.deepEqual(servable(members), ["new@2"]);
    t.is(viewOf(members, [announced]).groups.get("new@2")?.group.leader?.id, "old-0");
    const free = members.map(member => withMembership(member, undefined));
    t.deepEqual(servable(free, []), []);
    t.deepEqual(servable(free), ["new@2"]);
    const joining = members.map((member, rank) =>
        withMembership(member, { group: "new", epoch: 2, rank, state: "joining" }),
    );
    t.deepEqual(servable(joining), ["new@2"]);
});

test("a later registration of a member takes precedence over an announcement", t => {
    const later = withMembership(members[1]!, { group: "later", epoch: 3, rank: 1, state: "ready" });
    t.deepEqual(servable([members[0]!, later]), []);
    const closing = withMembership(members[0]!, { group: "new", epoch: 2, rank: 0, state: "closing" });
    t.deepEqual(servable([closing, members[1]!]), []);
    t.deepEqual(servable([{ ...members[0]!, isLeaving: true }, members[1]!]), []);
});

test("an announced group with an unknown member is ignored", t => {
    t.deepEqual(servable([members[0]!]), []);
    t.deepEqual(servable(members, [{ ...announced, members: ["old-0", "unknown"] }]), ["old@1"]);
});

test("announcements replace earlier ones and expire when their announcer is silent", t => {
    const announcements = GroupAnnouncements.create();
    t.true(announcements.apply("entry-1", [announced], 0));
    t.false(announcements.apply("entry-1", [announced], 2_000));
    t.false(announcements.expire(6_000));
    t.deepEqual(announcements.all, [announced]);
    t.true(announcements.expire(7_000));
    t.deepEqual(announcements.all, []);
    announcements.apply("entry-1", [announced], 8_000);
    t.true(announcements.apply("entry-1", [], 8_100));
    t.deepEqual(announcements.all, []);
});

test("a placer announces the groups that it opens until they lose a member", t => {
    const fleet = SimulatedFleet.create(8, createRandomGenerator(1));
    fleet.runFor(45_000);
    const large = fleet.servingGroups().find(group => group.model === "large")!;
    const opened = OpenedGroups.create();
    const follow = (milliseconds: number): void => {
        fleet.opened.length = 0;
        fleet.ended.length = 0;
        fleet.runFor(milliseconds);
        fleet.opened.forEach(group => opened.add(group, fleet.now));
        fleet.ended.forEach(key => opened.remove(key));
    };
    fleet.crash(large.members[3]!);
    fleet.suspect(large.members[3]!);
    follow(4_000);
    const repaired = fleet.servingGroups().find(group => group.model === "large")!;
    const [first, ...others] = opened.current(fleet.now);
    t.deepEqual(first?.members, repaired.members);
    t.deepEqual(others, []);
    fleet.crash(repaired.members[1]!);
    fleet.suspect(repaired.members[1]!);
    follow(1_500);
    t.false(opened.current(fleet.now).includes(first!));
});

test("the announcement of a group expires 12 seconds after its opening", t => {
    const opened = OpenedGroups.create();
    opened.add(announced, 0);
    t.deepEqual(opened.current(11_000), [announced]);
    t.deepEqual(opened.current(12_000), []);
});
