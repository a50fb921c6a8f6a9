#!/usr/bin/env node
/** chervil-stand-ins: runs small stand-ins for the platform, engines and plain services; for development only. */
import { cac } from "cac";
import { systemClock } from "../src/links/system-clock.js";
import { createAdminPort, faultDescriptions } from "./admin.js";
import { Deployment } from "./deployment.js";
import type { StandInSettings } from "./settings.js";
import { readStandInSettings } from "./settings.js";

const version = "0.1.0";

interface MainOptions {
    readonly settings?: string;
    readonly checkSettings?: boolean;
}

async function run(options: MainOptions): Promise<void> {
    if (options.settings === undefined) {
        reportError("expected --settings FILE");
        return;
    }
    const settings = readStandInSettings(options.settings);
    if (!settings.success) {
        reportError(settings.fault.message);
        return;
    }
    if (options.checkSettings === true) {
        process.stdout.write("settings are valid\n");
        return;
    }
    await serve(settings.data);
}

function reportError(message: string): void {
    process.stderr.write(`chervil-stand-ins: ${message}\n`);
    process.exitCode = 2;
}

async function serve(settings: StandInSettings): Promise<void> {
    const deployment = await Deployment.create(settings, systemClock.monotonicMilliseconds);
    const admin = await createAdminPort(settings.admin.listen, deployment, systemClock);
    const stop = (): void => {
        admin.stop();
        deployment.close();
        process.exit(0);
    };
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
    const ready = {
        ready: true,
        admin: `http://${admin.address()}`,
        platform: deployment.platform().address(),
    };
    process.stdout.write(`${JSON.stringify(ready)}\n`);
}

const commands = cac("chervil-stand-ins");
commands
    .command("", "Run the stand-ins until interrupted")
    .option("--settings <file>", "Settings file (TOML)")
    .option("--check-settings", "Check the settings and exit")
    .action(run);
commands.help(sections => [
    ...sections,
    {
        title: "Faults (POST /faults at the admin port)",
        body: Object.entries(faultDescriptions)
            .map(([fault, meaning]) => `  ${fault}: ${meaning}`)
            .join("\n"),
    },
]);
commands.version(version);
commands.parse(process.argv, { run: false });
await commands.runMatchedCommand();
