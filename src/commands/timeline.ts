#!/usr/bin/env node
/** chervil-timeline: merges the events of all processes into one timeline. */
import { writeFileSync } from "node:fs";
import { cac } from "cac";
import * as z from "zod";
import type { TimelineEvent } from "../core/events.js";
import type { TimelineFilter } from "../core/timeline-filters.js";
import { filterTimeline, mergeTimelines } from "../core/timeline-filters.js";
import { formatEventLine, formatTimelinePage } from "../links/timeline-page.js";
import { readAdminDocument } from "./admin-client.js";
import { exitWhenOutputCloses, readVersion } from "./command-support.js";

const pageSchema = z.object({
    events: z.array(
        z.object({
            at: z.object({ wallMilliseconds: z.number(), counter: z.number() }),
            process: z.string(),
            failureDomain: z.string(),
            body: z.looseObject({ kind: z.string() }),
        }),
    ),
});

interface TimelineOptions extends TimelineFilter {
    readonly admin?: string | readonly string[];
    readonly format: string;
    readonly output?: string;
}

const formatters: Readonly<Record<string, (events: readonly TimelineEvent[]) => string>> = {
    text: events => events.map(event => `${formatEventLine(event)}\n`).join(""),
    json: events => events.map(event => `${JSON.stringify(event)}\n`).join(""),
    html: formatTimelinePage,
};

async function readEvents(address: string): Promise<readonly TimelineEvent[]> {
    const response = await readAdminDocument(address, "/events?after=0");
    const page = response.success ? pageSchema.safeParse(response.data) : undefined;
    if (page?.success !== true) {
        const reason = response.success ? "the response is not a timeline" : response.fault.message;
        process.stderr.write(`cannot read events from "${address}": ${reason}\n`);
        process.exitCode = 1;
        return [];
    }
    return page.data.events as readonly TimelineEvent[];
}

async function run(options: TimelineOptions): Promise<void> {
    const addresses = [options.admin ?? []].flat().flatMap(list => String(list).split(","));
    const format = formatters[options.format];
    if (addresses.length === 0 || format === undefined) {
        process.stderr.write("expected --admin host:port[,host:port...] and --format text, json or html\n");
        process.exitCode = 2;
        return;
    }
    const timelines = await Promise.all(addresses.map(readEvents));
    const text = format(filterTimeline(mergeTimelines(timelines), options));
    if (options.output === undefined) {
        process.stdout.write(text);
        return;
    }
    writeFileSync(options.output, text);
}

exitWhenOutputCloses();
const commands = cac("chervil-timeline");
commands
    .command("", "Merge the events of daemons by hybrid logical clock")
    .option("--admin <addresses>", "Admin ports, host:port, separated by commas or repeated")
    .option("--format <format>", "text, json (one event a line) or html (one page)", { default: "text" })
    .option("--output <file>", "Write to a file instead of standard output")
    .option("--request <id>", "Only events of one request")
    .option("--team <team>", "Only events of one team")
    .option("--group <group>", "Only events of one replica group")
    .option("--instance <instance>", "Only events of one instance")
    .option("--process <process>", "Only events of one process")
    .action(run);
commands.help();
commands.version(readVersion());
commands.parse(process.argv, { run: false });
await commands.runMatchedCommand();
