import test from "ava";
import { InFlightRequests } from "../in-flight-requests.js";
import { ModelDemandTracker } from "../model-demand-tracker.js";
import { profile } from "./simulated-fleet.js";
import { groupMember, viewOf } from "./fleet-fixtures.js";

test("supply follows in-flight requests, including those of other entry instances, within seconds", t => {
    const view = viewOf([0, 1].flatMap(rank => ["g1", "g2"].map(group => groupMember(group, rank))));
    const flights = InFlightRequests.create();
    const demands = ModelDemandTracker.create(flights);
    t.deepEqual(demands.supplies(view).get("small"), { groups: 2, groupsInUse: 0 });
    const load = { requests: profile.slots, unreadTokens: 0 };
    flights.applyPeerLoads("other", [{ group: "g1@1", urgent: load, all: load }], Number.POSITIVE_INFINITY);
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
