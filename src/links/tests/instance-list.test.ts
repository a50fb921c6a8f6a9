import test from "ava";
import { filter, firstValueFrom, ReplaySubject } from "rxjs";
import type { Instance } from "../../core/instances.js";
import { FaultSwitches } from "../../../stand-ins/fault-switches.js";
import { Platform } from "../../../stand-ins/platform.js";
import { systemClock } from "../system-clock.js";
import { followInstances, instancePrefix } from "../instance-list.js";
import { createKeyValueStore } from "../key-value-store.js";

const now = systemClock.monotonicMilliseconds;

test("the list follows changes, and known instances are kept while the platform is unreachable", async t => {
    const faults = FaultSwitches.create(now);
    const platform = await Platform.create("127.0.0.1:0", faults, now);
    const put = (id: string, state: string): void => {
        const instance = { id, address: "a:1", failureDomain: "z", fabricDomain: "f", role: "engine", state };
        platform.data.put(`${instancePrefix}${id}`, JSON.stringify(instance));
    };
    put("one", "live");
    platform.data.put(`${instancePrefix}broken`, "{");
    const store = createKeyValueStore({
        addresses: [platform.address()],
        process: "tester",
        clock: systemClock,
        watchSilenceTimeoutMilliseconds: 2000,
    });
    const lists = new ReplaySubject<readonly Instance[]>(1);
    const faultCodes = new ReplaySubject<string>();
    const following = followInstances({
        store,
        clock: systemClock,
        onFault: fault => faultCodes.next(fault.code),
    }).subscribe(lists);
    const listOf = (text: string): Promise<readonly Instance[]> =>
        firstValueFrom(
            lists.pipe(filter(list => list.map(({ id, state }) => `${id} ${state}`).join() === text)),
        );
    await listOf("one live");
    put("two", "live");
    await listOf("one live,two live");
    faults.switchOn({ target: "platform", fault: "down", deadline: Infinity });
    await firstValueFrom(faultCodes);
    t.is((await firstValueFrom(lists)).length, 2);
    put("one", "leaving");
    faults.switchOff("platform", "down");
    t.is((await listOf("one leaving,two live")).length, 2);
    following.unsubscribe();
    store.close();
    platform.close();
    faults.close();
});
