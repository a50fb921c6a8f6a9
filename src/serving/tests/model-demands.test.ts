import test from "ava";
import { RouteTable } from "../configurations.js";
import { FleetView } from "../fleet-views.js";
import type { FleetInstance } from "../fleets.js";
import { GroupFlights } from "../group-flights.js";
import { ModelDemands } from "../model-demands.js";
import { profile } from "./fake-engines.js";

function member(group: string, rank: number, model: string): FleetInstance {
    return {
        id: `${group}-${rank}`,
        service: "llm",
        address: "10.0.0.1:80",
        failureDomain: "a",
        fabricDomain: "f",
        slots: profile.slots,
        isLeaving: false,
        heartbeat: 1,
        status: {
            membership: { group, epoch: 1, rank, state: rank === 0 ? "open" : "ready" },
            model,
            staged: [model],
            incarnation: 1,
        },
    };
}

test("supply follows the work in flight within some seconds, also what other entry instances tell", t => {
    const table = RouteTable.create({
        version: 1,
        routes: [],
        services: [{ name: "llm", maximumConnections: 10, engine: profile }],
        limits: { headerBytes: 1, bodyBytes: 1, headerMilliseconds: 1, idleMilliseconds: 1 },
        workspaces: undefined,
    });
    const members = [0, 1].flatMap(rank => ["g1", "g2"].map(group => member(group, rank, "small")));
    const instances = new Map(members.map(each => [each.id, each]));
    const view = FleetView.create({ revision: 1, instances, lapsed: [] }, table);
    const flights = GroupFlights.create();
    const demands = ModelDemands.create(flights);
    t.deepEqual(demands.supplies(view).get("small"), { groups: 2, groupsInUse: 0 });
    const load = { requests: profile.slots, unreadTokens: 0 };
    flights.applyPeer("other", [{ group: "g1@1", urgent: load, all: load }], Number.POSITIVE_INFINITY);
    for (let count = 0; count < profile.slots / 2; count += 1) {
        flights.start("g2@1", 100, 0);
    }
    for (let now = 0; now < 12_000; now += 25) {
        demands.tick(view, now);
    }
    const { groups, groupsInUse } = demands.supplies(view).get("small")!;
    t.is(groups, 2);
    t.true(groupsInUse > 1.4 && groupsInUse <= 1.5, `${groupsInUse}`);
});
