/** Shows the status that entry processes report: configuration revision, groups, stranded instances and queues. */
import * as z from "zod";
import { readAdminDocument } from "../admin-client.js";
import type { OutputFormat } from "./output.js";
import { exitCodes, printResult, printFault } from "./output.js";

const gateSchema = z.object({
    open: z.boolean(),
    reason: z.string().optional(),
    instance: z.string().optional(),
});

const groupSchema = z.object({
    id: z.string(),
    model: z.string(),
    epoch: z.number(),
    state: z.string(),
    members: z.array(z.string()),
    gate: gateSchema,
});

const entryStatusSchema = z.object({
    process: z.string(),
    failureDomain: z.string(),
    readiness: z.string(),
    configurationRevision: z.number(),
    configurationAgeMilliseconds: z.number().optional(),
    rejections: z.array(z.object({ path: z.string(), reason: z.string() })).default([]),
    requests: z.object({ active: z.number(), queued: z.number() }),
    queuedByTeam: z.record(z.string(), z.number()),
    strandedInstances: z.array(z.string()).default([]),
    groups: z.array(groupSchema),
});

type EntryStatus = Readonly<z.infer<typeof entryStatusSchema>>;

/** Shows the status of each entry process, without using the platform; exit code 1 if one cannot be read. */
export async function showStatus(format: OutputFormat, addresses: readonly string[]): Promise<void> {
    const responses = await Promise.all(addresses.map(address => readAdminDocument(address, "/status")));
    for (const [index, response] of responses.entries()) {
        if (!response.success) {
            printFault(format, response.fault);
            continue;
        }
        const status = entryStatusSchema.safeParse(response.data);
        if (!status.success) {
            process.stderr.write(`admin port "${addresses[index]}" does not belong to an entry process\n`);
            process.exitCode = exitCodes.failed;
            continue;
        }
        printResult(format, formatStatus(status.data), status.data);
    }
}

function formatStatus(status: EntryStatus): string {
    const { process: name, failureDomain, readiness, configurationRevision, requests } = status;
    const age = status.configurationAgeMilliseconds;
    const lines = [
        `${name} (${failureDomain}): ${readiness}, configuration revision ${configurationRevision}` +
            (age === undefined ? "" : `, confirmed ${(age / 1000).toFixed(1)} s ago`),
        `  requests: ${requests.active} active, ${requests.queued} queued`,
        ...Object.entries(status.queuedByTeam)
            .filter(([, queued]) => queued > 0)
            .map(([team, queued]) => `  queue of team ${team}: ${queued}`),
        ...status.rejections.map(({ path, reason }) => `  rejected: ${path}: ${reason}`),
        `  instances outside any serving group: ${status.strandedInstances.join(", ") || "none"}`,
        ...status.groups.map(formatGroup),
    ];
    return lines.join("\n");
}

function formatGroup(group: EntryStatus["groups"][number]): string {
    const { id, model, epoch, state, members, gate } = group;
    const closed = `closed (${gate.reason ?? "unknown"}${gate.instance === undefined ? "" : ` at ${gate.instance}`})`;
    return `  group ${id} ${model} epoch ${epoch} ${state}, gate ${gate.open ? "open" : closed}: ${members.join(", ")}`;
}
