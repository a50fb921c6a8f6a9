/** Runs the demo over real processes; run `npm run build` first. */
import test from "ava";
import { runChecks } from "../scripts/demo-checks.js";
import { Demo } from "../scripts/demo-deployment.js";

test("the demo starts, passes its checks through every entry instance, and stops", async t => {
    t.timeout(120_000);
    const ends: string[] = [];
    const demo = await Demo.create({ onUnexpectedEnd: end => ends.push(end.name) });
    try {
        const results = await runChecks(demo.ready(), () => undefined);
        const failed = results.filter(result => result.problem !== undefined);
        t.deepEqual(failed, []);
        t.is(new Set(results.map(result => result.entry)).size, 6);
    } finally {
        await demo.stop();
    }
    t.deepEqual(ends, []);
    t.deepEqual(
        demo.ready().processes.filter(({ name }) => demo.process(name).isRunning()),
        [],
    );
});
