/** The timeline as text lines and as one self-contained HTML page. */
import type { TimelineEvent } from "../core/events.js";
import { eventFields } from "../core/timeline-filters.js";

const laneHeight = 34;
const labelWidth = 150;
const pageWidth = 1400;
const colors: Readonly<Record<string, string>> = {
    requestReceived: "#2563eb",
    requestDispatched: "#7c3aed",
    firstToken: "#059669",
    requestCompleted: "#16a34a",
    requestRefused: "#dc2626",
    attemptFailed: "#ea580c",
    requestResumed: "#d97706",
    groupChanged: "#0891b2",
    configurationApplied: "#4b5563",
};

/** Formats one event as one line of text. */
export function formatEventLine(event: TimelineEvent): string {
    const time = new Date(event.at.wallMilliseconds).toISOString();
    const fields = Object.entries(eventFields(event.body))
        .filter(([, value]) => value !== undefined)
        .map(([name, value]) => `${name}=${String(value)}`);
    return `${time}+${event.at.counter} ${event.process} (${event.failureDomain}) ${event.body.kind} ${fields.join(" ")}`;
}

/** Formats a page that shows processes as lanes and each request's path across them. It loads no other resources. */
export function formatTimelinePage(events: readonly TimelineEvent[]): string {
    const processes = [...new Set(events.map(event => event.process))].sort();
    const height = processes.length * laneHeight + 40;
    const coordinates = createEventCoordinates(events, processes);
    return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>chervilrouter timeline</title>
<style>body{font:13px sans-serif;margin:16px;color:#111}svg{border:1px solid #ddd;max-width:100%}
table{border-collapse:collapse;margin-top:12px}td,th{border-bottom:1px solid #eee;padding:2px 8px;text-align:left}
tr.shown{background:#fef9c3}code{font-size:12px}</style></head><body>
<h1>Timeline of ${events.length} events in ${processes.length} processes</h1>
<svg viewBox="0 0 ${pageWidth} ${height}" width="${pageWidth}" height="${height}" role="img">
${processes.map((process, index) => renderLane(process, index)).join("\n")}
${renderRequestPaths(events, coordinates).join("\n")}
${events.map((event, index) => renderEvent(event, index, coordinates)).join("\n")}
</svg>
<table><thead><tr><th>time</th><th>process</th><th>event</th><th>fields</th></tr></thead><tbody>
${events.map(renderTableRow).join("\n")}
</tbody></table>
<script>
document.querySelectorAll("circle").forEach(dot => dot.addEventListener("click", () => {
    document.querySelectorAll("tr.shown").forEach(row => row.classList.remove("shown"));
    const row = document.getElementById(dot.dataset.row);
    row.classList.add("shown");
    row.scrollIntoView({ block: "center" });
}));
</script></body></html>
`;
}

interface EventCoordinates {
    readonly x: (event: TimelineEvent) => number;
    readonly y: (event: TimelineEvent) => number;
}

function createEventCoordinates(
    events: readonly TimelineEvent[],
    processes: readonly string[],
): EventCoordinates {
    const first = events[0]?.at.wallMilliseconds ?? 0;
    const last = events.at(-1)?.at.wallMilliseconds ?? first;
    const scale = (pageWidth - labelWidth - 40) / Math.max(1, last - first);
    return {
        x: event => labelWidth + 20 + (event.at.wallMilliseconds - first) * scale,
        y: event => laneCenter(processes.indexOf(event.process)),
    };
}

function laneCenter(index: number): number {
    return 20 + index * laneHeight + laneHeight / 2;
}

function renderLane(process: string, index: number): string {
    const y = laneCenter(index);
    return (
        `<line x1="${labelWidth}" y1="${y}" x2="${pageWidth - 10}" y2="${y}" stroke="#ccc"/>` +
        `<text x="8" y="${y + 4}">${escapeHtml(process)}</text>`
    );
}

/** Draws one polyline per request through its events in order. */
function renderRequestPaths(
    events: readonly TimelineEvent[],
    coordinates: EventCoordinates,
): readonly string[] {
    const pointsByRequest = new Map<string, string[]>();
    for (const event of events) {
        if ("request" in event.body) {
            const points = pointsByRequest.get(event.body.request) ?? [];
            points.push(`${coordinates.x(event).toFixed(1)},${coordinates.y(event)}`);
            pointsByRequest.set(event.body.request, points);
        }
    }
    return [...pointsByRequest.values()].map(
        points =>
            `<polyline points="${points.join(" ")}" fill="none" stroke="#2563eb" stroke-opacity="0.35"/>`,
    );
}

function renderEvent(event: TimelineEvent, index: number, coordinates: EventCoordinates): string {
    const color = colors[event.body.kind] ?? "#6b7280";
    const title = escapeHtml(formatEventLine(event));
    return (
        `<circle cx="${coordinates.x(event).toFixed(1)}" cy="${coordinates.y(event)}" r="4" fill="${color}" ` +
        `data-row="row-${index}"><title>${title}</title></circle>`
    );
}

function renderTableRow(event: TimelineEvent, index: number): string {
    const time = new Date(event.at.wallMilliseconds).toISOString();
    const fields = escapeHtml(JSON.stringify(eventFields(event.body)));
    return (
        `<tr id="row-${index}"><td>${time}+${event.at.counter}</td><td>${escapeHtml(event.process)}</td>` +
        `<td>${event.body.kind}</td><td><code>${fields}</code></td></tr>`
    );
}

function escapeHtml(text: string): string {
    return text
        .replaceAll("&", "&amp;")
        .replaceAll("<", "&lt;")
        .replaceAll(">", "&gt;")
        .replaceAll('"', "&quot;");
}
