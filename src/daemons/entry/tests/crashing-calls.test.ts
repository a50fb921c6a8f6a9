import test from "ava";
import { NEVER, Subject, delay, filter } from "rxjs";
import type { KeyValueStore } from "../../../contracts/key-value-stores.js";
import { fail } from "../../../core/errors.js";
import type { Instance } from "../../../core/instances.js";
import type { ServiceCall } from "../../../core/requests.js";
import { startCrashGuard } from "../crash-guard.js";
import type { PeerEvidence } from "../../system-view.js";
import { createServiceCalls } from "../service-calls.js";
import { createSendToService } from "../../../links/services.js";
import { systemClock } from "../../../links/system-clock.js";
import { FaultSwitches } from "../../../../stand-ins/fault-switches.js";
import { ExecutionCounts, ServiceReplica } from "../../../../stand-ins/service-replica.js";

const now = systemClock.monotonicMilliseconds;
const restartMilliseconds = 150;
const repeatIntervalMilliseconds = 120;
const gossipMilliseconds = 200;
const unused = async () => fail<never>({ code: "internal", message: "unused", step: "store", notRun: true });
const store: KeyValueStore = {
    list: unused,
    get: unused,
    compareAndSwap: async () => ({ kind: "swapped", revision: 1 }),
    grantLease: unused,
    renewLease: unused,
    revokeLease: unused,
    watch: () => NEVER,
};
let calls = 0;

function createCall(path: string, idempotent: boolean): ServiceCall {
    calls += 1;
    return {
        id: `call-${calls}`,
        caller: { team: "kelani", subscriber: "driver-1" },
        service: "tracker",
        method: idempotent ? "GET" : "POST",
        path,
        body: "",
        idempotent,
        deadline: now() + 2_000,
    };
}

const sleep = (milliseconds: number): Promise<void> =>
    new Promise(resolve => setTimeout(resolve, milliseconds));

/** Starts four replicas that crash on calls of /boards/9, and the service calls of four entry processes. */
async function startCalls() {
    const faults = FaultSwitches.create(now);
    const replicas = await Promise.all(
        ["a", "b", "c", "d"].map(id =>
            ServiceReplica.create("127.0.0.1:0", {
                id,
                service: "tracker",
                failureDomain: "zone",
                faults,
                executions: ExecutionCounts.create(),
                now,
                workMilliseconds: 20,
            }),
        ),
    );
    faults.switchOn({
        target: "tracker",
        fault: "crashing",
        text: "/boards/9",
        milliseconds: restartMilliseconds,
        deadline: Infinity,
    });
    const random = Math.random;
    const route = (_: ServiceCall, tried: readonly string[]): Instance | undefined =>
        replicas
            .map(replica => replica.describe())
            .filter(({ instance, state }) => state === "serving" && !tried.includes(instance))
            .map(({ instance: id, address, failureDomain }) => {
                const fabricDomain = failureDomain;
                return { id, address, failureDomain, fabricDomain, role: "service", state: "live" } as const;
            })[0];
    const evidence = new Subject<PeerEvidence>();
    const guards = ["e1", "e2", "e3", "e4"].map(process =>
        startCrashGuard({
            clock: systemClock,
            incarnationOf: id =>
                replicas.map(replica => replica.describe()).find(({ instance }) => instance === id)
                    ?.incarnation,
            random,
            onQuarantine: () => undefined,
            publish: payload => evidence.next({ process, payload, publishedAt: now() }),
            peers: evidence.pipe(
                filter(sent => sent.process !== process),
                delay(gossipMilliseconds),
            ),
        }),
    );
    const entries = guards.map(crashGuard =>
        createServiceCalls({
            store,
            send: createSendToService(systemClock),
            route,
            clock: systemClock,
            random,
            record: () => undefined,
            crashGuard,
        }),
    );
    return {
        entries,
        faults,
        crashes: () => replicas.reduce((sum, replica) => sum + replica.describe().crashes, 0),
        close: () => {
            guards.forEach(guard => guard.close());
            replicas.forEach(replica => replica.close());
        },
    };
}

for (const idempotent of [true, false]) {
    const kind = idempotent ? "idempotent" : "not idempotent";
    test(`repeats of a call that crashes each replica at any entry process stop to reach replicas: ${kind}`, async t => {
        const { entries, crashes, close } = await startCalls();
        t.teardown(close);
        let crashedThirdAt: number | undefined;
        let crashesInWindow = 0;
        for (let repeat = 0; repeat < 24; repeat += 1) {
            const entry = entries[repeat % entries.length]!;
            await entry.run(createCall("/boards/9", idempotent));
            await sleep(repeatIntervalMilliseconds);
            crashedThirdAt ??= crashes() >= 3 ? now() : undefined;
            if (crashedThirdAt !== undefined && now() - crashedThirdAt < 1_000) {
                crashesInWindow = crashes();
            }
            t.is((await entry.run(createCall("/boards/1", true))).kind, "answered");
        }
        t.true(crashes() >= 3);
        t.true(crashes() - crashesInWindow <= 3, `${crashesInWindow} and ${crashes()} crashes`);
    });
}
