import test from "ava";
import type { SendOutcome } from "../../src/contracts/services.js";
import { systemClock } from "../../src/links/system-clock.js";
import { createSendToService } from "../../src/links/services.js";
import { createAdminPort } from "../admin.js";
import { Deployment } from "../deployment.js";
import { standInSettingsSchema } from "../settings.js";

const now = systemClock.monotonicMilliseconds;

test("executions are counted by key, including lost responses and refused calls", async t => {
    const settings = standInSettingsSchema.parse({
        admin: { listen: "127.0.0.1:0" },
        platform: { listen: "127.0.0.1:0" },
        services: [{ id: "tracker-1", service: "tracker", failureDomain: "zone" }],
    });
    const deployment = await Deployment.create(settings, now);
    const admin = await createAdminPort(settings.admin.listen, deployment, systemClock);
    const url = `http://${admin.address()}`;
    const switchOn = (target: string, fault: string, deadline?: number): Promise<Response> =>
        fetch(`${url}/faults`, { method: "POST", body: JSON.stringify({ target, fault, deadline }) });
    const send = createSendToService(systemClock);
    const call = (key: string): Promise<SendOutcome> =>
        send(
            {
                id: key,
                caller: { team: "t", subscriber: "s" },
                service: "tracker",
                method: "POST",
                path: "/assignments",
                body: "{}",
                idempotent: false,
                key,
                deadline: now() + 5000,
            },
            {
                id: "tracker-1",
                address: deployment.services[0]!.address(),
                failureDomain: "zone",
                fabricDomain: "zone",
                role: "service",
                state: "live",
            },
        );
    t.is((await call("a")).kind, "answered");
    await switchOn("tracker", "lostAnswers");
    t.is((await call("b")).kind, "unknown");
    await switchOn("tracker", "lostAnswers", 0);
    await switchOn("tracker", "refusals");
    t.is((await call("c")).kind, "notRun");
    await switchOn("tracker-1", "killed");
    t.is((await call("d")).kind, "notRun");
    t.deepEqual(await (await fetch(`${url}/executions`)).json(), { a: 1, b: 1 });
    t.is((await switchOn("nobody", "killed")).status, 400);
    t.is((await switchOn("tracker", "tired")).status, 400);
    admin.stop();
    deployment.close();
});
